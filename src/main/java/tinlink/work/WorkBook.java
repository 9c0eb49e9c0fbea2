package tinlink.work;

import tinlink.cluster.ReplicatedStateMachine;
import tinlink.work.choice.Bounds;
import tinlink.work.choice.Order;

import java.util.List;

/** The order of work, as that which is agreed on. */
public final class WorkBook implements ReplicatedStateMachine {
    private Order order;

    /** Of a fleet that has agreed on nothing yet. */
    public WorkBook() {
        order = new Order();
    }

    /** @param bounds as if they had been agreed on */
    public WorkBook(Bounds bounds) {
        order = new Order(bounds);
    }

    public Order order() {
        return order;
    }

    @Override
    public String apply(String line) {
        return order.play(line);
    }

    @Override
    public List<String> snapshot() {
        return order.lines();
    }

    @Override
    public void restore(List<String> lines) {
        order = Order.of(lines);
    }
}
