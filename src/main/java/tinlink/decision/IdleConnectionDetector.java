package tinlink.decision;

import java.util.Arrays;

/**
 * Detects connections that a device on the network path drops without notice after some idle time, such as a
 * firewall that has restarted or whose connection table is full. An attempt on a dropped connection is never
 * answered, so that a healthy data node looks hung.
 *
 * <p>Such a device drops connections by their idle time. So above some idle time, attempts are unanswered
 * significantly more often than on connections that were used more recently. Slow nodes leave attempts
 * unanswered at any idle time. They must not count as dropped connections: a router in a large fleet uses
 * each connection seldom, and new connections from all routers would add to the load of the nodes.
 */
final class IdleConnectionDetector {
    /** Two shares that differ by this many standard errors differ significantly. */
    static final double SIGNIFICANT_STANDARD_ERRORS = 2.5;

    private static final int IDLE_STEPS = 8;
    private static final double MIN_UNANSWERED_SHARE = 0.08;
    private static final double MIN_RATIO = 1.2;
    /** Evidence on connections decays at this multiple of the rate for evidence on data nodes. */
    private static final double RELATIVE_DECAY_RATE = 0.25;

    private final EvidenceDecay decay;
    private final long usualRoundUs;
    /** Number of attempts by the idle step of their connection; decays with time. */
    private final double[] attempts = new double[IDLE_STEPS];

    private final double[] unanswered = new double[IDLE_STEPS];
    private long recordedAtUs;

    IdleConnectionDetector(EvidenceDecay decay, long usualRoundUs) {
        this.decay = decay;
        this.usualRoundUs = usualRoundUs;
    }

    /** Step 0 is an idle time of up to half a round; the step rises by one with each doubling. */
    int idleStep(long idleUs) {
        return idleUs <= usualRoundUs / 2
                ? 0
                : Math.min(
                        IDLE_STEPS - 1,
                        Long.SIZE - Long.numberOfLeadingZeros(2 * idleUs / usualRoundUs));
    }

    /** @param unansweredAttempts 1 where the attempt was unanswered after its round, 0 for an answer */
    void record(Attempt attempt, double unansweredAttempts, long nowUs) {
        double remaining = remaining(nowUs);
        recordedAtUs = nowUs;
        for (int i = 0; i < IDLE_STEPS; i++) {
            attempts[i] *= remaining;
            unanswered[i] *= remaining;
        }
        attempts[attempt.idleStep]++;
        unanswered[attempt.idleStep] += unansweredAttempts;
    }

    private double remaining(long nowUs) {
        return Math.pow(decay.remaining(recordedAtUs, nowUs), RELATIVE_DECAY_RATE);
    }

    /**
     * Whether connections that were idle for this long are probably dropped.
     *
     * @param standardErrors number of standard errors by which the unanswered shares must differ
     */
    boolean isDropped(int idleStep, double standardErrors, long nowUs) {
        double remaining = remaining(nowUs);
        double all = Arrays.stream(attempts).sum() * remaining;
        double allUnanswered = Arrays.stream(unanswered).sum() * remaining;
        double unansweredShare = allUnanswered / Math.max(1, all);
        double shortIdle = 0;
        double shortIdleUnanswered = 0;
        for (int step = 1; step <= idleStep; step++) {
            shortIdle += attempts[step - 1] * remaining;
            shortIdleUnanswered += unanswered[step - 1] * remaining;
            double longIdle = all - shortIdle;
            double variance = unansweredShare
                    * (1 - unansweredShare)
                    * (1 / Math.max(1, longIdle) + 1 / Math.max(1, shortIdle));
            double margin = standardErrors * Math.sqrt(variance);
            double longIdleUnanswered = allUnanswered - shortIdleUnanswered;
            if (isUnansweredMoreOften(
                    longIdle, longIdleUnanswered, shortIdle, shortIdleUnanswered, margin)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isUnansweredMoreOften(
            double longIdle,
            double longIdleUnanswered,
            double shortIdle,
            double shortIdleUnanswered,
            double margin) {
        // A single unanswered attempt is no evidence, whatever share the other connections have.
        return longIdleUnanswered > 1
                && longIdleUnanswered / Math.max(1, longIdle)
                        > Math.max(
                                MIN_UNANSWERED_SHARE,
                                MIN_RATIO * shortIdleUnanswered / Math.max(1, shortIdle) + margin);
    }
}
