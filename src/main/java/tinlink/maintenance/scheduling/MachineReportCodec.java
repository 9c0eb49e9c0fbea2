package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.FieldReader;
import tinlink.cluster.membership.LineCodec;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The written form of {@link MachineReport}s: a line of fields, the kind first. It is sent between builds, so its
 * words stay; a kind that is not known is ignored, which leaves room for later forms.
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
        if (report instanceof MachineReport.Health r) {
            fields.add(HEALTH);
            r.healthyByMachine().forEach((machine, healthy) -> {
                fields.add(machine);
                fields.add(healthy);
            });
        } else if (report instanceof MachineReport.FullNodeList r) {
            fields.add(FULL_LIST);
            fields.add(r.site());
            r.nodes().forEach(node -> fields.add(MaintenanceCommandCodec.machine(node)));
        } else if (report instanceof NodeListDifference r) {
            fields.add(LIST_DIFFERENCE);
            fields.add(r.site());
            fields.add(Long.toHexString(r.basisDigest()));
            fields.add(r.added().size());
            r.added().forEach(node -> fields.add(MaintenanceCommandCodec.machine(node)));
            r.missing().stream().sorted().forEach(fields::add);
        } else if (report instanceof MachineReport.Self r) {
            fields.add(SELF);
            fields.add(MaintenanceCommandCodec.machine(r.router()));
        } else if (report instanceof MachineReport.Departure r) {
            fields.add(DEPARTURE);
            fields.add(r.incarnation());
        }
        return LineCodec.encode(fields.toArray());
    }

    /** Reads a report; empty where it can't be read or is of a kind that this build does not know. */
    public static Optional<MachineReport> decode(String line) {
        FieldReader in = new FieldReader(LineCodec.decode(line));
        try {
            return switch (in.nextText()) {
                case HEALTH -> Optional.of(health(in.remaining()));
                case FULL_LIST ->
                    Optional.of(new MachineReport.FullNodeList(
                            in.nextText(), machines(in.remaining())));
                case LIST_DIFFERENCE -> Optional.of(difference(in));
                case SELF -> Optional.of(new MachineReport.Self(machine(in.nextText())));
                case DEPARTURE -> Optional.of(new MachineReport.Departure(in.nextText()));
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

    private static NodeListDifference difference(FieldReader in) {
        String site = in.nextText();
        long basisDigest = Long.parseUnsignedLong(in.nextText(), HEX);
        int addedCount = in.nextInt();
        List<String> nodes = in.remaining();
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
        FieldReader in = new FieldReader(LineCodec.decode(line));
        in.nextText(); // The kind, which is that of a command.
        return MaintenanceCommandCodec.machine(in);
    }
}
