package tinlink.work;

import java.util.List;
import tinlink.peers.Agreed;
import tinlink.work.choice.Bounds;
import tinlink.work.choice.Order;

/** The order of work, as that which is agreed on. */
public final class WorkBook implements Agreed {
    private final Bounds bounds;
    private Order order;

    public WorkBook(Bounds bounds) {
        this.bounds = bounds;
        order = new Order(bounds);
    }

    public Order order() {
        return order;
    }

    @Override
    public String play(String line) {
        return order.play(line);
    }

    @Override
    public List<String> lines() {
        return order.lines();
    }

    @Override
    public void from(List<String> lines) {
        order = Order.of(bounds, lines);
    }
}
