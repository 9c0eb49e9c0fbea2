package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.FieldReader;
import tinlink.cluster.consensus.LineCodec;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The written form of {@link MachineReport}s: a line of fields, the kind first. It is sent between builds, so
 * its words stay; a kind that is not known is ignored, which leaves room for later forms.
 */
public final class MachineReportCodec {
    private static final String HEALTH = "saw";
    private static final String FULL_LIST = "list";
    private static final String LIST_DIFFERENCE = "list-difference";
    private static final String SELF = "self";
    private static final String DEPARTURE = "left";
    private static final int HEX = 16;

    private MachineReportCodec() {}

    /** Returns the line of a report; {@link #decode} makes the same report from it. */
    public static String encode(MachineReport report) {
        List<Object> fields = new ArrayList<>();
        if (report instanceof MachineReport.Health healthReport) {
            fields.add(HEALTH);
            healthReport.healthyByMachine().forEach((machine, healthy) -> {
                fields.add(machine);
                fields.add(healthy);
            });
        } else if (report instanceof MachineReport.FullNodeList fullNodeList) {
            fields.add(FULL_LIST);
            fields.add(fullNodeList.site());
            fullNodeList.nodes().forEach(node -> fields.add(MaintenanceCommandCodec.machine(node)));
        } else if (report instanceof NodeListDifference nodeListDifference) {
            fields.add(LIST_DIFFERENCE);
            fields.add(nodeListDifference.site());
            fields.add(Long.toHexString(nodeListDifference.basisDigest()));
            fields.add(nodeListDifference.added().size());
            nodeListDifference
                    .added()
                    .forEach(node -> fields.add(MaintenanceCommandCodec.machine(node)));
            nodeListDifference.missing().stream().sorted().forEach(fields::add);
        } else if (report instanceof MachineReport.Self selfReport) {
            fields.add(SELF);
            fields.add(MaintenanceCommandCodec.machine(selfReport.router()));
        } else if (report instanceof MachineReport.Departure departure) {
            fields.add(DEPARTURE);
            fields.add(departure.incarnation());
        }
        return LineCodec.encode(fields.toArray());
    }

    /** Reads a report; empty where it can't be read or is of a kind that this build does not know. */
    public static Optional<MachineReport> decode(String line) {
        FieldReader fields = new FieldReader(LineCodec.decode(line));
        try {
            return switch (fields.nextText()) {
                case HEALTH -> Optional.of(health(fields.remaining()));
                case FULL_LIST ->
                    Optional.of(new MachineReport.FullNodeList(
                            fields.nextText(), machines(fields.remaining())));
                case LIST_DIFFERENCE -> Optional.of(difference(fields));
                case SELF -> Optional.of(new MachineReport.Self(machine(fields.nextText())));
                case DEPARTURE -> Optional.of(new MachineReport.Departure(fields.nextText()));
                default -> Optional.empty();
            };
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static MachineReport health(List<String> pairs) {
        Map<String, Boolean> healthyByMachine = new LinkedHashMap<>();
        for (int i = 0; i + 1 < pairs.size(); i += 2) {
            healthyByMachine.put(pairs.get(i), Boolean.parseBoolean(pairs.get(i + 1)));
        }
        return new MachineReport.Health(healthyByMachine);
    }

    private static NodeListDifference difference(FieldReader fields) {
        String site = fields.nextText();
        long basisDigest = Long.parseUnsignedLong(fields.nextText(), HEX);
        int addedCount = fields.nextInt();
        List<String> nodes = fields.remaining();
        int missingCount = nodes.size() - addedCount;
        if (addedCount < 0
                || addedCount > NodeListDifference.MAX_NODES
                || missingCount < 0
                || missingCount > NodeListDifference.MAX_NODES) {
            throw new IllegalArgumentException("too many nodes in one report, or too few");
        }
        return new NodeListDifference(
                site,
                basisDigest,
                machines(nodes.subList(0, addedCount)),
                new LinkedHashSet<>(nodes.subList(addedCount, nodes.size())));
    }

    private static List<Machine> machines(List<String> lines) {
        return lines.stream().map(MachineReportCodec::machine).toList();
    }

    private static Machine machine(String line) {
        FieldReader fields = new FieldReader(LineCodec.decode(line));
        fields.nextText(); // The kind, which is that of a command.
        return MaintenanceCommandCodec.machine(fields);
    }
}
