package tinlink.router;

import tinlink.net.EventLog;
import tinlink.net.HeapCharge;
import tinlink.net.MessageRejectedException;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.stream.Stream;

/**
 * Limits the heap that the requests of all clients retain together: buffers, the objects parsed so far, the
 * texts of lookups in flight, and responses that are not yet written. When the limit is exceeded, slow
 * connections give way first, the largest of them before others: requests that are still being received, and
 * clients that don't read their response. A request that arrives at a normal rate is rejected only if none of
 * these is left. Confined to the event loop's thread.
 */
final class RequestMemory {
    private static final EventLog LOG = new EventLog("tinlink.clients");

    /** The connection whose memory an account counts. */
    interface Owner {
        /** Rejects the request that is being received, or closes the connection. */
        void giveWayForMemory();
    }

    private final long limitBytes;
    /** A request or a response that takes longer than this is slow, in microseconds. */
    private final long slowAfterUs;

    private final LongSupplier clock;
    private long retainedBytes;
    private boolean makingRoom;
    /** Accounts of requests that are being received; bounded by the open connections. */
    private final Set<Account> receiving = new LinkedHashSet<>();
    /** Accounts of responses that are being written; bounded by the open connections. */
    private final Set<Account> responding = new LinkedHashSet<>();

    /** @param clock the time of the current turn, in microseconds */
    RequestMemory(long limitBytes, long slowAfterUs, LongSupplier clock) {
        this.limitBytes = limitBytes;
        this.slowAfterUs = slowAfterUs;
        this.clock = clock;
    }

    Account open(Owner owner) {
        return new Account(owner);
    }

    /** The estimated heap of all accounts, in bytes. */
    long retainedBytes() {
        return retainedBytes;
    }

    /** The heap that one connection retains. */
    final class Account implements HeapCharge {
        private final Owner owner;
        private long parsedBytes;
        private long inputBufferBytes;
        private long outputBufferBytes;
        /** Whether the account is in {@link #receiving}. */
        private boolean isReceiving;
        /** When the request began to arrive or the response was written. */
        private long sinceUs;

        private Account(Owner owner) {
            this.owner = owner;
        }

        /**
         * Adds objects that are parsed from an incomplete request.
         *
         * @throws MessageRejectedException if this request has to give way
         */
        @Override
        public void add(long bytes) throws MessageRejectedException {
            retainedBytes += bytes;
            parsedBytes += bytes;
            receive();
        }

        /**
         * Sets the size of the input buffers while a request is being received.
         *
         * @throws MessageRejectedException if this request has to give way
         */
        void setReceiveBuffer(long bytes) throws MessageRejectedException {
            replaceInputBuffer(bytes);
            receive();
        }

        /** Sets the size of the input buffers while a lookup is in flight or nothing is expected. */
        void setInputBuffer(long bytes) {
            stopReceiving();
            replaceInputBuffer(bytes);
            makeRoom(this);
        }

        /** The request is complete, and a lookup that retains that many bytes is in flight. */
        void received(long lookupBytes) {
            stopReceiving();
            retainedBytes += lookupBytes - parsedBytes;
            parsedBytes = lookupBytes;
        }

        /** A response has been put into an output buffer of that size. */
        void responseBuffered(long bytes) {
            received(0);
            replaceOutputBuffer(bytes);
            if (responding.add(this)) {
                sinceUs = clock.getAsLong();
            }
            makeRoom(this);
        }

        void responseWritten() {
            responding.remove(this);
            replaceOutputBuffer(0);
        }

        /** The connection retains nothing any more. */
        void release() {
            received(0);
            replaceInputBuffer(0);
            responseWritten();
        }

        private void receive() throws MessageRejectedException {
            if (!isReceiving) {
                isReceiving = true;
                receiving.add(this);
                sinceUs = clock.getAsLong();
            }
            makeRoom(this);
            if (!isReceiving) {
                // No attempt was sent, so the client can safely retry after this rejection.
                throw new MessageRejectedException(503, "too much is being read");
            }
        }

        private void stopReceiving() {
            if (isReceiving) {
                isReceiving = false;
                receiving.remove(this);
            }
        }

        private void replaceInputBuffer(long bytes) {
            retainedBytes += bytes - inputBufferBytes;
            inputBufferBytes = bytes;
        }

        private void replaceOutputBuffer(long bytes) {
            retainedBytes += bytes - outputBufferBytes;
            outputBufferBytes = bytes;
        }

        private long retained() {
            return parsedBytes + inputBufferBytes + outputBufferBytes;
        }
    }

    /** @param growing the account that has just grown; if it has to give way, it is only removed here */
    private void makeRoom(Account growing) {
        if (retainedBytes <= limitBytes || makingRoom) {
            return; // While room is being made, this is the response to a rejected request.
        }
        makingRoom = true;
        try {
            while (retainedBytes > limitBytes) {
                Account victim = victim();
                if (victim == null) {
                    break;
                }
                giveWay(victim, growing);
                if (victim == growing) {
                    break;
                }
            }
        } finally {
            makingRoom = false;
        }
    }

    private void giveWay(Account victim, Account growing) {
        LOG.log(Level.FINE, "gave_way_for_memory", "bytes", victim.retained());
        victim.stopReceiving();
        responding.remove(victim);
        if (victim != growing) {
            victim.owner.giveWayForMemory();
        }
    }

    /** Returns the account to give way next; null if there is none. */
    private Account victim() {
        long slowBeforeUs = clock.getAsLong() - slowAfterUs;
        Stream<Account> slowResponses =
                responding.stream().filter(account -> account.sinceUs <= slowBeforeUs);
        Comparator<Account> bySlownessAndSize = Comparator.<Account, Boolean>comparing(
                        account -> account.sinceUs <= slowBeforeUs)
                .thenComparingLong(Account::retained);
        return Stream.concat(receiving.stream(), slowResponses)
                .max(bySlownessAndSize)
                .orElse(null);
    }
}
