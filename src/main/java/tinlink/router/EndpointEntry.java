package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.net.EventLog;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.logging.Level;

/**
 * A data node as listed by discovery. Invalid fields of an entry are logged while it is read.
 *
 * @param address null if the listed one is invalid
 * @param cell null if the entry is not usable; then only the state is valid
 * @param capacity the relative capacity that the data node reports; 1 if it reports none
 * @param startedAtUs Unix time in microseconds; {@code Long.MIN_VALUE} if not known
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

    /** Listed state of a data node: it takes new parts, only finishes parts in flight, or is gone. */
    enum State {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /** @param fields the fields of the JSON object from discovery */
    static EndpointEntry read(String uid, Map<?, ?> fields) {
        State state = state(uid, String.valueOf(fields.get("state")));
        if (state == State.TERMINATED) {
            return new EndpointEntry(uid, state, null, null, null, null, 1, Long.MIN_VALUE);
        }
        InetSocketAddress address = address(uid, String.valueOf(fields.get("endpoint")));
        Integer cell = address == null ? null : cell(uid, fields.get("pod_group"));
        long startedAtUs = fields.get("boot_ms") instanceof Double bootMs && bootMs > 0
                ? Math.round(1000 * bootMs)
                : Long.MIN_VALUE;
        return new EndpointEntry(
                uid,
                state,
                address,
                cell,
                String.valueOf(fields.get("az")),
                String.valueOf(fields.get("model")),
                fields.get("capacity_hint") instanceof Double hint && hint > 0 ? hint : 1,
                startedAtUs);
    }

    /** Whether fields other than the state are valid. */
    boolean isUsable() {
        return cell != null;
    }

    boolean isInService() {
        return state == State.IN_SERVICE;
    }

    /** An unknown state counts as terminating, so that the data node gets no new parts. */
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
