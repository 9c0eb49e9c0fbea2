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
 * Encodes a {@link MachineReport} as a line of fields, of which the first is the kind. Routers of different
 * builds exchange these lines, so the kinds must not change; reports of an unknown kind are ignored, so that
 * later builds can add kinds.
 */
public final class MachineReportCodec {
    private static final String HEALTH = "saw";
    private static final String FULL_LIST = "list";
    private static final String LIST_DIFFERENCE = "list-difference";
    private static final String SELF = "self";
    private static final String DEPARTURE = "left";
    private static final int HEX_RADIX = 16;

    private MachineReportCodec() {}

    /** Returns the line from which {@link #decode} restores an equal report. */
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
            fullNodeList
                    .nodes()
                    .forEach(node -> fields.add(MaintenanceCommandCodec.encodeMachine(node)));
        } else if (report instanceof NodeListDifference nodeListDifference) {
            fields.add(LIST_DIFFERENCE);
            fields.add(nodeListDifference.site());
            fields.add(Long.toHexString(nodeListDifference.basisDigest()));
            fields.add(nodeListDifference.added().size());
            nodeListDifference
                    .added()
                    .forEach(node -> fields.add(MaintenanceCommandCodec.encodeMachine(node)));
            nodeListDifference.missing().stream().sorted().forEach(fields::add);
        } else if (report instanceof MachineReport.Self selfReport) {
            fields.add(SELF);
            fields.add(MaintenanceCommandCodec.encodeMachine(selfReport.router()));
        } else if (report instanceof MachineReport.Departure departure) {
            fields.add(DEPARTURE);
            fields.add(departure.incarnation());
        }
        return LineCodec.encode(fields.toArray());
    }

    /** Decodes a line; returns empty if the line is malformed or of a kind unknown to this build. */
    public static Optional<MachineReport> decode(String line) {
        FieldReader fields = new FieldReader(LineCodec.decode(line));
        try {
            return switch (fields.nextText()) {
                case HEALTH -> Optional.of(decodeHealth(fields.remaining()));
                case FULL_LIST ->
                    Optional.of(new MachineReport.FullNodeList(
                            fields.nextText(), decodeMachines(fields.remaining())));
                case LIST_DIFFERENCE -> Optional.of(decodeDifference(fields));
                case SELF -> Optional.of(new MachineReport.Self(decodeMachine(fields.nextText())));
                case DEPARTURE -> Optional.of(new MachineReport.Departure(fields.nextText()));
                default -> Optional.empty();
            };
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static MachineReport decodeHealth(List<String> pairs) {
        Map<String, Boolean> healthyByMachine = new LinkedHashMap<>();
        for (int i = 0; i + 1 < pairs.size(); i += 2) {
            healthyByMachine.put(pairs.get(i), Boolean.parseBoolean(pairs.get(i + 1)));
        }
        return new MachineReport.Health(healthyByMachine);
    }

    private static NodeListDifference decodeDifference(FieldReader fields) {
        String site = fields.nextText();
        long basisDigest = Long.parseUnsignedLong(fields.nextText(), HEX_RADIX);
        int addedCount = fields.nextInt();
        List<String> nodes = fields.remaining();
        int missingCount = nodes.size() - addedCount;
        if (addedCount < 0
                || addedCount > NodeListDifference.MAX_NODES
                || missingCount < 0
                || missingCount > NodeListDifference.MAX_NODES) {
            throw new IllegalArgumentException("list-difference report: expected 0 to "
                    + NodeListDifference.MAX_NODES + " added and missing nodes each, found "
                    + addedCount + " and " + missingCount);
        }
        return new NodeListDifference(
                site,
                basisDigest,
                decodeMachines(nodes.subList(0, addedCount)),
                new LinkedHashSet<>(nodes.subList(addedCount, nodes.size())));
    }

    private static List<Machine> decodeMachines(List<String> lines) {
        return lines.stream().map(MachineReportCodec::decodeMachine).toList();
    }

    private static Machine decodeMachine(String line) {
        FieldReader fields = new FieldReader(LineCodec.decode(line));
        // The line is that of a command that registers a machine, so it begins with a kind.
        fields.nextText();
        return MaintenanceCommandCodec.decodeMachine(fields);
    }
}
