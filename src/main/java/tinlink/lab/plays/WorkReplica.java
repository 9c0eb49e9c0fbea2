package tinlink.lab.plays;

import tinlink.cluster.ReplicatedStateMachine;
import tinlink.work.WorkBook;
import tinlink.work.choice.Bounds;
import tinlink.work.choice.Order;

import java.util.List;

/** One router's replica of the order of work. */
interface WorkReplica extends ReplicatedStateMachine {
    Order order();

    /** The replica is not used any more. */
    void release();

    /** A replica with a state of its own, as in a router that serves. */
    final class Own implements WorkReplica {
        private final WorkBook book;

        Own(Bounds bounds) {
            book = new WorkBook(bounds);
        }

        @Override
        public Order order() {
            return book.order();
        }

        @Override
        public void release() {
            // Its state goes with it.
        }

        @Override
        public String apply(String line) {
            return book.apply(line);
        }

        @Override
        public List<String> snapshot() {
            return book.snapshot();
        }

        @Override
        public void restore(List<String> lines) {
            book.restore(lines);
        }
    }

    /** A replica that has its state in common with all that have heard the same lines. */
    final class Shared implements WorkReplica {
        private final SharedReplicas<Order>.Replica replica;

        Shared(SharedReplicas<Order>.Replica replica) {
            this.replica = replica;
        }

        @Override
        public Order order() {
            return replica.state();
        }

        @Override
        public void release() {
            replica.release();
        }

        @Override
        public String apply(String line) {
            return replica.play(line);
        }

        @Override
        public List<String> snapshot() {
            return replica.lines();
        }

        @Override
        public void restore(List<String> lines) {
            replica.from(lines);
        }
    }
}
