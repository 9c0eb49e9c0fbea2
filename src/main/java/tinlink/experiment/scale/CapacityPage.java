package tinlink.experiment.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** docs/CAPACITY.md: prose that people write, and between markers what is generated from saved results. */
public final class CapacityPage {
    private static final String END = "<!-- capacity: end -->";

    private CapacityPage() {}

    /**
     * Writes the generated parts of the page anew.
     *
     * @param results folder with the files of results
     * @throws IOException where page or results can't be read, or the page lacks a marker
     */
    public static void rewrite(Path page, Path results) throws IOException {
        String text = Files.readString(page);
        Files.writeString(page, rendered(text, ResultFile.loadAll(results)));
    }

    /** The page with its generated parts as these results have them. */
    static String rendered(String page, List<ResultFile> results) throws IOException {
        CapacityTables tables = new CapacityTables(results);
        Map<String, String> parts = new LinkedHashMap<>();
        parts.put("size", tables.size());
        parts.put("roles", tables.roles());
        parts.put("failures", tables.failures());
        parts.put("ranking", tables.ranking());
        parts.put("all", tables.all());
        String text = page;
        for (Map.Entry<String, String> part : parts.entrySet()) {
            text = replaced(text, "<!-- capacity: " + part.getKey() + " -->", part.getValue());
        }
        return text;
    }

    private static String replaced(String text, String begin, String part) throws IOException {
        int from = text.indexOf(begin);
        int to = from < 0 ? -1 : text.indexOf(END, from);
        if (to < 0) {
            throw new IOException("the page has no " + begin + " with its end");
        }
        return text.substring(0, from + begin.length()) + "\n" + part + "\n" + text.substring(to);
    }
}
