package tinlink.gateway.forwarding;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The channels on which routers of other sites forward parts to this router, in the order in which they first
 * connected. The table is bounded: a channel is removed some time after its last connection has ended, to
 * make room for another channel when the table is full, or when its router has restarted.
 */
final class InboundChannelTable {
    private final int maxChannels;
    private final Map<InboundChannel.Key, InboundChannel> channels = new LinkedHashMap<>();

    InboundChannelTable(int maxChannels) {
        this.maxChannels = maxChannels;
    }

    /** The channel with the given key; null if there is none. */
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

    /** A copy of the list of channels that belong to other incarnations of the given router. */
    List<InboundChannel> ofOtherIncarnations(String router, long incarnation) {
        return channels.values().stream()
                .filter(channel -> channel.key().router().equals(router)
                        && channel.key().incarnation() != incarnation)
                .toList();
    }

    /** The channel that has been disconnected longest; null if all channels are connected. */
    InboundChannel oldestDisconnected() {
        InboundChannel oldest = null;
        for (InboundChannel channel : channels.values()) {
            boolean older = oldest == null || channel.disconnectedAt() < oldest.disconnectedAt();
            oldest = !channel.isConnected() && older ? channel : oldest;
        }
        return oldest;
    }
}
