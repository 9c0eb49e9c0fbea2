package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.net.EventLog;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.logging.Level;

/**
 * One data node as discovery lists it. What of an entry can't be used is logged as it is read.
 *
 * @param address null where it can't be used
 * @param cell null where it can't be used; then nothing but the state counts
 * @param capacity as the node states it; 1 where it states none
 * @param startedAtUs Unix time; the least value where it is not known
 */
record EndpointEntry(
        String uid,
        State state,
        InetSocketAddress address,
        Integer cell,
        String zone,
        String kind,
        double capacity,
        long startedAtUs) {
    private static final EventLog LOG = new EventLog("tinlink.discovery");

    /** What discovery says that a data node takes: new parts, only what it has, nothing. */
    enum State {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /** @param fields of the object that discovery gives */
    static EndpointEntry read(String uid, Map<?, ?> fields) {
        State state = state(uid, String.valueOf(fields.get("state")));
        if (state == State.TERMINATED) {
            return new EndpointEntry(uid, state, null, null, null, null, 1, Long.MIN_VALUE);
        }
        InetSocketAddress address = address(uid, String.valueOf(fields.get("endpoint")));
        Integer cell = address == null ? null : cell(uid, fields.get("pod_group"));
        long startedAtUs = fields.get("boot_ms") instanceof Double ms && ms > 0
                ? Math.round(1000 * ms)
                : Long.MIN_VALUE;
        return new EndpointEntry(
                uid,
                state,
                address,
                cell,
                String.valueOf(fields.get("az")),
                String.valueOf(fields.get("model")),
                fields.get("capacity_hint") instanceof Double size && size > 0 ? size : 1,
                startedAtUs);
    }

    /** Whether more than the state can be used. */
    boolean isUsable() {
        return cell != null;
    }

    boolean isInService() {
        return state == State.IN_SERVICE;
    }

    /** Nothing new goes to a node whose state is not known. */
    private static State state(String uid, String value) {
        return switch (value) {
            case "terminated" -> State.TERMINATED;
            case "in_service" -> State.IN_SERVICE;
            case "terminating" -> State.TERMINATING;
            default -> {
                LOG.log(
                        Level.WARNING,
                        "endpoint_invalid",
                        "field",
                        "state",
                        "uid",
                        uid,
                        "value",
                        value);
                yield State.TERMINATING;
            }
        };
    }

    private static InetSocketAddress address(String uid, String endpoint) {
        try {
            return RouterConfig.parseAddress(endpoint);
        } catch (IllegalArgumentException e) {
            LOG.log(
                    Level.WARNING,
                    "endpoint_invalid",
                    "field",
                    "endpoint",
                    "uid",
                    uid,
                    "value",
                    endpoint);
            return null;
        }
    }

    private static Integer cell(String uid, Object group) {
        if (group instanceof Double cell) {
            return cell.intValue();
        }
        LOG.log(Level.WARNING, "endpoint_invalid", "field", "pod_group", "uid", uid);
        return null;
    }
}
