package tinlink.experiment;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Pictures of what an experiment measured. */
final class Charts {
    private Charts() {}

    /** Latency over the share of lookups that took longer, both logarithmic. */
    static void latencies(Path file, String title, Map<String, Histogram> series)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(500)
                .title(title)
                .xAxisTitle("one lookup in so many took longer")
                .yAxisTitle("ms")
                .build();
        chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true);
        for (Map.Entry<String, Histogram> s : new TreeMap<>(series).entrySet()) {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (HistogramIterationValue v : s.getValue().percentiles(5)) {
                double over = 1 - v.getPercentileLevelIteratedTo() / 100;
                if (over > 0) {
                    x.add(1 / over);
                    y.add(Math.max(0.1, v.getValueIteratedTo() / 1000.0));
                }
            }
            if (!x.isEmpty()) {
                chart.addSeries(s.getKey(), x, y).setMarker(SeriesMarkers.NONE);
            }
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
