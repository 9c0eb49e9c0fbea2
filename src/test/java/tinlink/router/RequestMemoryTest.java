package tinlink.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import tinlink.net.MessageRejectedException;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Which connection gives way when the requests of all clients would retain too much heap. */
class RequestMemoryTest {
    private static final long LIMIT_BYTES = 1000;
    private static final long SLOW_AFTER_US = 250_000;

    private long nowUs = 1_000_000;
    private final RequestMemory memory = new RequestMemory(LIMIT_BYTES, SLOW_AFTER_US, () -> nowUs);
    private final List<String> gaveWay = new ArrayList<>();

    private final class Client implements RequestMemory.Owner {
        private final String name;
        private final RequestMemory.Account account = memory.open(this);

        Client(String name) {
            this.name = name;
        }

        @Override
        public void giveWayForMemory() {
            gaveWay.add(name);
            account.release();
        }
    }

    @Test
    void theLargestIncompleteRequestGivesWay() throws MessageRejectedException {
        Client small = new Client("small");
        Client large = new Client("large");
        Client next = new Client("next");
        small.account.add(300);
        large.account.add(600);
        next.account.add(200);
        assertEquals(List.of("large"), gaveWay);
        assertEquals(500, memory.retainedBytes());
    }

    /** Guards against usual requests that are rejected while bad clients hold the memory. */
    @Test
    void aSlowRequestGivesWayBeforeALargerOneThatHasJustBegun() throws MessageRejectedException {
        Client slow = new Client("slow");
        slow.account.add(300);
        nowUs += SLOW_AFTER_US;
        Client usual = new Client("usual");
        usual.account.add(900);
        assertEquals(List.of("slow"), gaveWay);
    }

    @Test
    void aRequestThatIsTheLargestItselfIsRejected() throws MessageRejectedException {
        Client small = new Client("small");
        small.account.add(300);
        Client large = new Client("large");
        assertThrows(MessageRejectedException.class, () -> large.account.add(900));
        large.account.release();
        assertEquals(List.of(), gaveWay);
        assertEquals(300, memory.retainedBytes());
    }

    /** Guards against a lookup in flight that loses its answer because others fill the memory. */
    @Test
    void lookupsInFlightNeverGiveWay() throws MessageRejectedException {
        Client inFlight = new Client("in flight");
        inFlight.account.add(50);
        inFlight.account.received(900);
        Client next = new Client("next");
        assertThrows(MessageRejectedException.class, () -> next.account.add(200));
        assertEquals(List.of(), gaveWay);
    }

    /** Guards against clients that ask, never read their responses, and fill the memory with them. */
    @Test
    void aResponseThatIsNotReadForLongGivesWay() throws MessageRejectedException {
        Client unread = new Client("unread");
        unread.account.responseBuffered(800);
        Client first = new Client("first");
        assertThrows(MessageRejectedException.class, () -> first.account.add(300));
        first.account.release();
        nowUs += SLOW_AFTER_US;
        new Client("second").account.add(300);
        assertEquals(List.of("unread"), gaveWay);
    }

    /** The total is that of all accounts after any order of events, and never over the limit. */
    @Test
    void theTotalStaysWithinTheLimit() {
        SplittableRandom random = new SplittableRandom(56);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(new Client("c" + i));
        }
        for (int step = 0; step < 20_000; step++) {
            nowUs += random.nextInt(50_000);
            RequestMemory.Account account = clients.get(random.nextInt(20)).account;
            try {
                switch (random.nextInt(4)) {
                    case 0 -> account.add(random.nextInt(400));
                    case 1 -> account.setReceiveBuffer(random.nextInt(400));
                    case 2 -> account.received(random.nextInt(20));
                    default -> account.release();
                }
            } catch (MessageRejectedException e) {
                account.release();
            }
            assertTrue(memory.retainedBytes() <= LIMIT_BYTES + 20 * 20, "in step " + step);
        }
        clients.forEach(client -> client.account.release());
        assertEquals(0, memory.retainedBytes());
    }
}
