package tinlink.cluster;

/** Sends to a router by its name; a message may get lost, also where no address of it is known. */
@FunctionalInterface
interface NodeMessageSender {
    void send(String router, NodeMessage message);
}
