package tinlink.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** How many bytes of bodies one turn of the event loop parses, and whose. */
class ParseQueueTest {
    private static final int BYTES_PER_TURN = 100;

    private long turnUs = 1;
    private final ArrayDeque<Runnable> nextTurn = new ArrayDeque<>();
    private final ParseQueue queue = new ParseQueue(BYTES_PER_TURN, () -> turnUs, nextTurn::add);
    private final List<String> parsed = new ArrayList<>();

    private final class TestRequest implements ParseQueue.Request {
        private final String name;
        private int left;

        TestRequest(String name, int bytes) {
            this.name = name;
            left = bytes;
        }

        @Override
        public int unparsedBytes() {
            return left;
        }

        @Override
        public int parseNext(int maxBytes) {
            int count = Math.min(maxBytes, left);
            left -= count;
            parsed.add(name + " " + count);
            return count;
        }
    }

    private TestRequest submit(String name, int bytes) {
        TestRequest request = new TestRequest(name, bytes);
        queue.submit(request);
        return request;
    }

    private List<String> parsedInNextTurn() {
        parsed.clear();
        turnUs++;
        Runnable task = nextTurn.poll();
        if (task != null) {
            task.run();
        }
        return List.copyOf(parsed);
    }

    @Test
    void aUsualRequestIsParsedInItsTurn() {
        submit("a", 60);
        submit("b", 40);
        assertEquals(List.of("a 60", "b 40"), parsed);
        assertEquals(List.of(), parsedInNextTurn());
    }

    /** Guards against a turn that parses the bodies of hundreds of clients before it answers anybody. */
    @Test
    void noTurnParsesMoreThanItsBytes() {
        submit("a", 250);
        submit("b", 90);
        assertEquals(List.of("b 90"), parsed);
        assertEquals(List.of("a 100"), parsedInNextTurn());
        assertEquals(List.of("a 100"), parsedInNextTurn());
        assertEquals(List.of("a 50"), parsedInNextTurn());
        assertEquals(List.of(), parsedInNextTurn());
    }

    /** Guards against usual requests that wait behind large ones. */
    @Test
    void theSmallestOfThoseThatWaitIsParsedFirst() {
        submit("a", 180);
        assertEquals(List.of("a 100"), parsedInNextTurn());
        submit("b", 150);
        submit("c", 20);
        assertEquals(List.of("a 80", "c 20"), parsedInNextTurn());
        assertEquals(List.of("b 100"), parsedInNextTurn());
    }

    @Test
    void aRequestWhoseClientHasGoneIsNotParsed() {
        TestRequest active = submit("a", 180);
        TestRequest waiting = submit("b", 190);
        submit("c", 200);
        assertEquals(List.of("a 100"), parsedInNextTurn());
        queue.remove(active);
        queue.remove(waiting);
        assertEquals(List.of("c 100"), parsedInNextTurn());
    }
}
