package tinlink.config;

import java.util.ArrayList;
import java.util.List;

/**
 * The HTTP/2 settings, which also select the data nodes that are reached over HTTP/2, from the file
 * that NODE_HTTP2 or {@code --http2} names.
 */
public final class Http2Config {
    /** Selects the data nodes of a kind and zone; null matches any. */
    public record Offer(String kind, String zone) {}

    public final List<Offer> offers = new ArrayList<>();
    public final int maxConnections;
    public final int initialMaxStreams;
    public final int maxQueuedParts;
    public final long maxQueueWaitUs;
    public final long pingTimeoutUs;
    public final long fallbackMemoryUs;

    Http2Config(String file) {
        this(ConfigFile.of(file));
    }

    private Http2Config(ConfigFile file) {
        for (ConfigFile offer : file.objects("nodes")) {
            offers.add(new Offer(offer.text("kind", null), offer.text("zone", null)));
        }
        if (offers.isEmpty()) {
            throw file.invalid("nodes", "names none that offer HTTP/2");
        }
        maxConnections = file.integer("connections", 4, 1, 256);
        initialMaxStreams = file.integer("first_streams", 100, 1, 10_000);
        maxQueuedParts = file.integer("waiting", 256, 1, 65_536);
        maxQueueWaitUs = file.micros("wait_ms", 100, 1, 60_000);
        pingTimeoutUs = file.micros("ping_ms", 500, 10, 60_000);
        fallbackMemoryUs = file.micros("remember_ms", 30_000, 1, 86_400_000);
        file.rejectUnknownKeys();
    }
}
