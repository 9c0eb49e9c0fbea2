package tinlink.router;

import java.util.ArrayList;
import java.util.List;

/** Part calls that travel in one frame and use one place on a connection. */
final class Bundle implements Carried {
    final List<Sent> sent = new ArrayList<>();
    NodeLink link;
    /** Where its frame ends in what the link has written; 0 while it waits. */
    long frameEnd;
    /** Part calls whose outcome is not known. */
    int open;

    @Override
    public boolean waits() {
        return frameEnd == 0;
    }

    @Override
    public void unanswered(Sent s) {
        if (link != null) {
            link.unanswered(s);
        }
    }

    @Override
    public void over(Sent s, boolean giveUp) {
        if (link != null) {
            link.over(s, giveUp);
        } else {
            open--;
        }
    }
}
