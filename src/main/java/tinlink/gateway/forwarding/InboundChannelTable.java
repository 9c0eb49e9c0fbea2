package tinlink.gateway.forwarding;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The channels by which routers of other sites forward parts to here, in the order in which they first
 * connected. Bounded; a channel leaves some time after its last connection, for another one when the table is
 * full, or as its router starts anew.
 */
final class InboundChannelTable {
    private final int maxChannels;
    private final Map<InboundChannel.Key, InboundChannel> channels = new LinkedHashMap<>();

    InboundChannelTable(int maxChannels) {
        this.maxChannels = maxChannels;
    }

    /** Null where there is none. */
    InboundChannel find(InboundChannel.Key key) {
        return channels.get(key);
    }

    void add(InboundChannel channel) {
        channels.put(channel.key(), channel);
    }

    void remove(InboundChannel channel) {
        channels.remove(channel.key(), channel);
    }

    boolean isFull() {
        return channels.size() >= maxChannels;
    }

    Collection<InboundChannel> all() {
        return Collections.unmodifiableCollection(channels.values());
    }

    int connectedCount() {
        int connected = 0;
        for (InboundChannel channel : channels.values()) {
            connected += channel.isConnected() ? 1 : 0;
        }
        return connected;
    }

    /** Those of that router's other incarnations; a copy. */
    List<InboundChannel> ofOtherIncarnations(String router, long incarnation) {
        return channels.values().stream()
                .filter(channel -> channel.key().router().equals(router)
                        && channel.key().incarnation() != incarnation)
                .toList();
    }

    /** The one that lost its connection first; null where all are connected. */
    InboundChannel oldestDisconnected() {
        InboundChannel oldest = null;
        for (InboundChannel channel : channels.values()) {
            boolean isOlder = oldest == null || channel.disconnectedAt() < oldest.disconnectedAt();
            oldest = !channel.isConnected() && isOlder ? channel : oldest;
        }
        return oldest;
    }
}
