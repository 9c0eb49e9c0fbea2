package tinlink.experiment.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.stream.Collectors;

/** The generated parts of docs/CAPACITY.md, from saved results alone. */
final class CapacityTables {
    private static final String NOT_MEASURED = "not measured";
    private static final int DIGITS = 3;

    /** A figure and what one measurement says of it. */
    private record FigureEstimate(CapacityFigure figure, CapacityEstimate estimate) {
        double value() {
            return figure.rate() * estimate.value();
        }

        /** Share of the budget; 0 where there is none. */
        double shareUsed() {
            return figure.budget().map(b -> b.shareUsed(value())).orElse(0.0);
        }
    }

    private final List<ResultFile> files;
    private final List<Measurement> measurements;

    CapacityTables(List<ResultFile> files) {
        this.files = files;
        measurements = files.stream().flatMap(f -> f.measurements().stream()).toList();
    }

    private List<FigureEstimate> held(CapacityFigure figure) {
        return measurements.stream()
                .filter(figure::isOf)
                .map(m -> new FigureEstimate(figure, CapacityEstimate.of(m)))
                .toList();
    }

    // ---- The size. ----

    /** The size to plan with and what follows from it. */
    String size() {
        List<String> lines = new ArrayList<>(List.of("| what | how much |", "| --- | --- |"));
        lines.add(size("query routers", CapacityPlan.QUERY_ROUTERS));
        lines.add(size("data nodes", CapacityPlan.DATA_NODES));
        lines.add(size("lookups a second", CapacityPlan.LOOKUPS_A_SECOND));
        lines.add(size("parts a lookup, each to a data node", CapacityPlan.PARTS_A_LOOKUP));
        lines.add(size("lookups a second and router", CapacityPlan.LOOKUPS_A_ROUTER));
        lines.add(size("part calls a second and router", CapacityPlan.PART_CALLS_A_ROUTER));
        lines.add(size("part calls a second and data node", CapacityPlan.PART_CALLS_A_NODE));
        lines.add(size("99 of 100 answers within, ms", CapacityPlan.ANSWER_MS));
        lines.add(size("regions", CapacityPlan.REGIONS));
        lines.add(size("zones", CapacityPlan.ZONES));
        lines.add(size("changes of configuration a day", CapacityPlan.CHANGES_A_DAY));
        lines.add(size("a change in force everywhere within, ms", CapacityPlan.IN_FORCE_MS));
        lines.add(size(
                "control at a router: processor time, ms/s", CapacityPlan.CONTROL_PROCESSOR_MS));
        lines.add(size("control at a router: memory, MB", CapacityPlan.CONTROL_MEMORY_MB));
        lines.add(size("control at a router: B/s", CapacityPlan.CONTROL_BYTES));
        lines.add(size("machines set aside for control", CapacityPlan.CONTROL_MACHINES));
        lines.add(size("machines that fail a day", CapacityPlan.FAILED_MACHINES_A_DAY));
        lines.add(
                size("machines restarted or replaced a day", CapacityPlan.REPLACED_MACHINES_A_DAY));
        return String.join("\n", lines);
    }

    private static String size(String what, double value) {
        return "| " + what + " | " + number(value) + " |";
    }

    // ---- Figures. ----

    /** By role. */
    String roles() {
        return table("role", CapacityFigures.byRole());
    }

    /** By kind of failure. */
    String failures() {
        return table("what happens", CapacityFigures.byFailure());
    }

    private String table(String group, List<CapacityFigure> figures) {
        List<String> lines = new ArrayList<>();
        lines.add("| " + group
                + " | figure | at the size to plan with | basis | growth | slope, 95% | budget | used |"
                + " within budget up to | carried by | command |");
        lines.add("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (CapacityFigure figure : figures) {
            List<FigureEstimate> all = held(figure);
            if (all.isEmpty()) {
                lines.add(row(figure, NOT_MEASURED, "", "", "", "", "", ""));
            }
            all.forEach(h -> lines.add(row(h)));
        }
        return String.join("\n", lines);
    }

    private static String row(FigureEstimate held) {
        CapacityEstimate estimate = held.estimate;
        double rate = held.figure.rate();
        String unit = held.figure.unit();
        String value = number(held.value()) + " ± " + number(rate * estimate.margin()) + unit(unit);
        String slope = estimate.fit().isEmpty()
                ? "not fitted, " + estimate.measurement().sizes() + " sizes"
                : number(rate * estimate.fit().get().slope()) + " ± "
                        + number(rate * estimate.fit().get().slopeMargin());
        return row(
                held.figure,
                value,
                basis(estimate),
                growth(estimate),
                slope,
                held.figure.budget().isEmpty() ? "" : share(held.shareUsed()),
                breaks(held),
                "`" + estimate.measurement().command() + "`");
    }

    private static String basis(CapacityEstimate estimate) {
        Measurement m = estimate.measurement();
        return estimate.basisWords() + ", " + number(estimate.size()) + " " + m.dimension()
                + (estimate.size() > m.largestSize() ? " from " + number(m.largestSize()) : "");
    }

    private static String growth(CapacityEstimate estimate) {
        return estimate.fit()
                .map(f -> f.law().title() + " (R² " + explained(f) + ")")
                .orElse("");
    }

    /** The size at which a figure reaches its budget, all else as planned. */
    private static String breaks(FigureEstimate held) {
        if (held.figure.budget().isEmpty() || held.figure.budget().get().isFloor()) {
            return "";
        }
        double limit = held.figure.budget().get().limit() / held.figure.rate();
        OptionalDouble size = held.estimate.sizeAt(limit);
        return size.isEmpty()
                ? ""
                : number(size.getAsDouble()) + " " + held.estimate.measurement().dimension();
    }

    private static String row(
            CapacityFigure figure,
            String value,
            String basis,
            String growth,
            String slope,
            String used,
            String breaks,
            String command) {
        String budget = figure.budget()
                .map(b -> (b.isFloor() ? "at least " : "") + number(b.limit()) + unit(figure.unit())
                        + " (" + b.source() + ")")
                .orElse("none stated");
        return "| "
                + String.join(
                        " | ",
                        figure.group(),
                        figure.title(),
                        value,
                        basis,
                        growth,
                        slope,
                        budget,
                        used,
                        breaks,
                        figure.carriedBy(),
                        command)
                + " |";
    }

    // ---- What is over budget or missing. ----

    /** All figures with a budget that use more than all of it, the worst first; then what is not measured. */
    String ranking() {
        List<CapacityFigure> figures = new ArrayList<>(CapacityFigures.byRole());
        figures.addAll(CapacityFigures.byFailure());
        List<String> lines = new ArrayList<>();
        figures.stream()
                .flatMap(f -> held(f).stream())
                .filter(h -> h.shareUsed() > 1)
                .sorted(Comparator.comparingDouble(FigureEstimate::shareUsed).reversed())
                .forEach(h -> lines.add((lines.size() + 1) + ". Over budget, "
                        + number(h.shareUsed()) + " times: " + h.figure.group() + ", "
                        + h.figure.title() + " (" + number(h.value()) + " of "
                        + number(h.figure.budget().orElseThrow().limit()) + unit(h.figure.unit())
                        + "; " + basis(h.estimate) + ")"));
        figures.stream()
                .filter(f -> held(f).isEmpty())
                .collect(Collectors.groupingBy(
                        CapacityFigure::group,
                        java.util.LinkedHashMap::new,
                        Collectors.mapping(CapacityFigure::title, Collectors.joining("; "))))
                .forEach((group, titles) ->
                        lines.add((lines.size() + 1) + ". Not measured: " + group + ": " + titles));
        return lines.isEmpty() ? "Nothing." : String.join("\n", lines);
    }

    // ---- All that was measured. ----

    /** Each measurement with its fit, and under it what has to be known of each run. */
    String all() {
        List<String> lines = new ArrayList<>();
        lines.add(
                "| role | cost | by | sizes | at the largest | growth | slope, 95% | R² | source |");
        lines.add("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        measurements.forEach(m -> lines.add(measured(m)));
        lines.add("");
        for (ResultFile file : files) {
            String notes = String.join("; ", file.notes());
            lines.add("- " + file.day() + ", seed " + file.seed() + ", " + file.cores() + " cores: "
                    + notes + ".");
        }
        return String.join("\n", lines);
    }

    private static String measured(Measurement m) {
        CapacityEstimate estimate = CapacityEstimate.of(m);
        String sizes = m.points().stream()
                .map(Measurement.Point::size)
                .distinct()
                .sorted()
                .map(CapacityTables::number)
                .collect(Collectors.joining(", "));
        double largest = m.points().stream()
                .filter(p -> p.size() == m.largestSize())
                .mapToDouble(Measurement.Point::value)
                .average()
                .orElse(0);
        String law = estimate.fit().map(f -> f.law().title()).orElse("not fitted");
        String slope = estimate.fit()
                .map(f -> number(f.slope()) + " ± " + number(f.slopeMargin()))
                .orElse("");
        String explained = estimate.fit().map(f -> explained(f)).orElse("");
        return "| "
                + String.join(
                        " | ",
                        m.role(),
                        m.cost(),
                        m.dimension(),
                        sizes,
                        number(largest) + unit(m.unit()),
                        law,
                        slope,
                        explained,
                        m.source().name().toLowerCase(Locale.ROOT))
                + " |";
    }

    // ---- Numbers. ----

    /** Share of the variance that a fit explains; none where all values are the same. */
    private static String explained(GrowthFit fit) {
        double share = fit.explained();
        return Double.isFinite(share) ? String.format(Locale.ROOT, "%.2f", share) : "-";
    }

    /** A unit behind a number; counts have none. */
    private static String unit(String unit) {
        return unit.equals("1") ? "" : " " + unit;
    }

    private static String share(double used) {
        String percent = number(100 * used) + "%";
        return used > 1 ? "**" + percent + "**" : percent;
    }

    /** Three digits that mean something; whole numbers whole. */
    static String number(double value) {
        if (!Double.isFinite(value)) {
            return "-";
        }
        if (value == 0 || Math.abs(value) >= 1000 || value == Math.rint(value)) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        int whole = (int) Math.floor(Math.log10(Math.abs(value))) + 1;
        return String.format(Locale.ROOT, "%." + Math.max(0, DIGITS - whole) + "f", value);
    }
}
