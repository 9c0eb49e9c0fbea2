package tinlink.experiment.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Addresses at which data nodes can be probed: connections come up and are closed once the other
 * side closes. Many nodes share one address, so that thousands of them take a few descriptors.
 */
final class HollowNodes implements AutoCloseable {
    private static final int MOST_ADDRESSES = 64;
    private static final int BACKLOG = 1024;
    private final Selector selector = Selector.open();
    private final List<ServerSocketChannel> listening = new ArrayList<>();
    private final int count;

    HollowNodes(int count) throws IOException {
        this.count = count;
        for (int i = 0; i < Math.min(count, MOST_ADDRESSES); i++) {
            ServerSocketChannel one = ServerSocketChannel.open()
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            one.configureBlocking(false);
            one.register(selector, SelectionKey.OP_ACCEPT);
            listening.add(one);
        }
        Thread thread = new Thread(this::run, "hollow-nodes");
        thread.setDaemon(true);
        thread.start();
    }

    /** As hollow routers are told of them: two holders a block, one after another in all zones. */
    List<Map<String, Object>> list() throws IOException {
        List<Map<String, Object>> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Map<String, Object> node = new LinkedHashMap<>();
            node.put("id", "node-" + i);
            node.put("block", i / 2);
            node.put("zone", ControlPlan.zone(i));
            node.put(
                    "port",
                    ((InetSocketAddress) listening.get(i % listening.size()).getLocalAddress())
                            .getPort());
            all.add(node);
        }
        return all;
    }

    private void run() {
        ByteBuffer nothing = ByteBuffer.allocate(64);
        try {
            while (selector.isOpen()) {
                selector.select(key -> serve(key, nothing));
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException e) {
            // Closed: the run is over.
        }
    }

    private void serve(SelectionKey key, ByteBuffer nothing) {
        try {
            if (key.channel() instanceof ServerSocketChannel server) {
                SocketChannel one = server.accept();
                if (one != null) {
                    one.configureBlocking(false);
                    one.register(selector, SelectionKey.OP_READ);
                }
            } else if (((SocketChannel) key.channel()).read(nothing.clear()) < 0) {
                key.channel().close();
            }
        } catch (IOException e) {
            key.cancel();
            try {
                key.channel().close();
            } catch (IOException ignored) {
                // It is over either way.
            }
        }
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (ServerSocketChannel one : listening) {
            one.close();
        }
    }
}
