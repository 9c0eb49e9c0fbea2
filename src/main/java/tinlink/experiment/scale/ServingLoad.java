package tinlink.experiment.scale;

import org.HdrHistogram.Histogram;

import tinlink.emulator.EmulatedClient;
import tinlink.emulator.EmulatedClient.LookupRequest;
import tinlink.emulator.EmulatedClient.LookupResponse;
import tinlink.emulator.EmulatorLoop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Clients that ask at times fixed beforehand, whether answers come or not (an open loop). Each
 * latency counts from the time when the lookup was due, so a router that stands still is charged
 * for all who wait.
 */
final class ServingLoad implements AutoCloseable {
    /** Which shards a lookup asks. */
    interface Shards {
        List<Integer> next(SplittableRandom random);
    }

    /**
     * What came of a run. Times in microseconds.
     *
     * @param whole lookups answered with all of their parts
     * @param latency of whole lookups, from when they were due
     * @param added the same less the longest service time of their parts
     * @param late how late the generator itself was
     */
    record Result(
            int asked, int whole, int failed, Histogram latency, Histogram added, Histogram late) {
        Result plus(Result other) {
            Histogram allLatency = latency.copy();
            allLatency.add(other.latency);
            Histogram allAdded = added.copy();
            allAdded.add(other.added);
            Histogram allLate = late.copy();
            allLate.add(other.late);
            return new Result(
                    asked + other.asked,
                    whole + other.whole,
                    failed + other.failed,
                    allLatency,
                    allAdded,
                    allLate);
        }
    }

    private static final long LAST_ANSWER_S = 10;
    private static final long FIRST_DUE_US = 20_000;
    private static final String TEXT = "an example of a text to look up.";
    private final EmulatorLoop emulatorLoop;
    private final EmulatedClient client;
    private final ServingSlowest slowest;
    private final SplittableRandom random;
    private final long budgetMs;
    private long asked;

    /** @param budgetMs an answer that takes longer counts as failed */
    ServingLoad(InetSocketAddress router, long budgetMs, ServingSlowest slowest, long seed)
            throws IOException {
        this.budgetMs = budgetMs;
        emulatorLoop = new EmulatorLoop();
        client = new EmulatedClient(emulatorLoop, router);
        this.slowest = slowest;
        random = new SplittableRandom(seed);
    }

    /** Asks for so long, with exponential gaps between lookups, and waits for the last answer. */
    Result run(double perSecond, double seconds, Shards shards) throws InterruptedException {
        Run run = new Run(shards);
        emulatorLoop.run(() -> run.plan(perSecond, seconds));
        try {
            return run.over.get((long) seconds + LAST_ANSWER_S, TimeUnit.SECONDS);
        } catch (TimeoutException | ExecutionException e) {
            throw new IllegalStateException("lookups without any end", e);
        }
    }

    @Override
    public void close() {
        emulatorLoop.close();
    }

    /** All of it on the emulation's thread. */
    private final class Run {
        private final CompletableFuture<Result> over = new CompletableFuture<>();
        private final Histogram latency = new Histogram(3);
        private final Histogram added = new Histogram(3);
        private final Histogram late = new Histogram(3);
        private final List<Long> due = new ArrayList<>();
        private final Shards shards;
        private int sent;
        private int whole;
        private int failed;

        Run(Shards shards) {
            this.shards = shards;
        }

        void plan(double perSecond, double seconds) {
            long from = emulatorLoop.now() + FIRST_DUE_US;
            double at = 0;
            while (at < seconds) {
                due.add(from + Math.round(at * 1e6));
                at += -Math.log(1 - random.nextDouble()) / perSecond;
            }
            sendNext();
        }

        private void sendNext() {
            if (sent < due.size()) {
                emulatorLoop.schedule(due.get(sent), this::send);
            }
        }

        private void send() {
            long dueUs = due.get(sent++);
            sendNext();
            late.recordValue(Math.max(0, emulatorLoop.now() - dueUs));
            long number = asked++;
            slowest.begins(number);
            LookupRequest ask = new LookupRequest(
                    ServingSlowest.lookupId(number),
                    ServingRouter.INDEX,
                    budgetMs,
                    shards.next(random),
                    TEXT,
                    null);
            client.send(ask, answer -> answered(number, dueUs, answer));
        }

        private void answered(long number, long dueUs, LookupResponse answer) {
            if (answer.isComplete()) {
                long tookUs = Math.max(0, answer.atUs() - dueUs);
                whole++;
                latency.recordValue(tookUs);
                added.recordValue(Math.max(0, tookUs - slowest.slowestUs(number)));
            } else {
                failed++;
            }
            if (whole + failed == due.size()) {
                over.complete(new Result(due.size(), whole, failed, latency, added, late));
            }
        }
    }
}
