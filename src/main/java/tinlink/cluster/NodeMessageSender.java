package tinlink.cluster;

/** Sends a message to a router by name. A message may get lost; without a known address it is dropped. */
@FunctionalInterface
interface NodeMessageSender {
    void send(String router, NodeMessage message);
}
