package tinlink.router;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Limits how many bytes of request bodies one turn of the event loop parses. Complete requests that have to
 * wait are parsed in later turns, the smallest first. Otherwise a few hundred clients with large bodies would
 * keep the loop busy while usual lookups wait past their time. A request waits at most until its client's
 * timeout. Confined to the event loop's thread; bounded by the open connections.
 */
final class ParseQueue {
    /** A complete request whose body is to be parsed. */
    interface Request {
        /** The size of the body that is not parsed yet, in bytes. */
        int unparsedBytes();

        /**
         * Parses the next part of the body, and handles the request once that is complete.
         *
         * @return the number of bytes that were parsed, at most {@code maxBytes}
         */
        int parseNext(int maxBytes);
    }

    private record Entry(int bytes, long sequence, Request request) {}

    private final int bytesPerTurn;
    private final LongSupplier turnTime;
    private final Consumer<Runnable> nextTurn;
    /** The waiting requests, the smallest first. */
    private final TreeSet<Entry> waiting =
            new TreeSet<>(Comparator.comparingInt(Entry::bytes).thenComparingLong(Entry::sequence));
    /** The request of which a part is parsed, so that only one at a time retains half of its objects. */
    private Entry active;

    private long sequence;
    private long turnUs = Long.MIN_VALUE;
    private int leftInTurn;
    private boolean scheduled;

    /**
     * @param bytesPerTurn the number of bytes to parse in one turn
     * @param turnTime the time at which the current turn began
     * @param nextTurn runs a task in the next turn, after the input of that turn
     */
    ParseQueue(int bytesPerTurn, LongSupplier turnTime, Consumer<Runnable> nextTurn) {
        this.bytesPerTurn = bytesPerTurn;
        this.turnTime = turnTime;
        this.nextTurn = nextTurn;
    }

    /** Parses the request in this turn if that allows it, and otherwise adds it to those that wait. */
    void submit(Request request) {
        int bytes = request.unparsedBytes();
        if (bytes <= leftInTurn()) {
            leftInTurn -= bytes;
            request.parseNext(bytes);
        } else {
            waiting.add(new Entry(bytes, sequence++, request));
            schedule();
        }
    }

    /** The request is not to be parsed any more; no effect if it does not wait. */
    void remove(Request request) {
        if (active != null && active.request == request) {
            active = null;
        }
        waiting.removeIf(entry -> entry.request == request);
    }

    private int leftInTurn() {
        if (turnTime.getAsLong() != turnUs) {
            turnUs = turnTime.getAsLong();
            leftInTurn = bytesPerTurn;
        }
        return leftInTurn;
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            nextTurn.accept(this::parseWaiting);
        }
    }

    private void parseWaiting() {
        scheduled = false;
        while (leftInTurn() > 0 && hasNext()) {
            Request request = active.request;
            leftInTurn -= request.parseNext(leftInTurn);
            if (request.unparsedBytes() == 0) {
                remove(request);
            }
        }
        if (hasNext()) {
            schedule();
        }
    }

    /** Whether a request is left to parse, which becomes the active one. */
    private boolean hasNext() {
        if (active == null) {
            active = waiting.pollFirst();
        }
        return active != null;
    }
}
