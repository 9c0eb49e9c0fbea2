package tinlink.decision;

import java.util.Arrays;

/**
 * Detects connections that something on the way drops unseen after a while without use, such as a middle box
 * that is full or has restarted. What is sent on one is never answered, and a good node looks hung.
 *
 * <p>What drops connections goes by their idle time. So past some idle time, calls go silent more often than
 * on connections used more recently, and by more than chance. Slow calls do so at any idle time; they are no
 * sign to a router of many, which uses each connection seldom, and new connections from all routers would
 * load the nodes more.
 */
final class IdleConnectionDetector {
    /** So many standard errors between two shares are no chance. */
    static final double SURE = 2.5;

    private static final int IDLE_STEPS = 8;
    private static final double LEAST_SILENT_SHARE = 0.08;
    private static final double LEAST_RATIO = 1.2;
    /** What connections show is forgotten so many times slower than what nodes do. */
    private static final double FADING = 0.25;

    private final EvidenceDecay decay;
    private final long usualRoundUs;
    /** Attempts, and silent ones, by the idle step of the connection that they went on; fading. */
    private final double[] attempts = new double[IDLE_STEPS];

    private final double[] silent = new double[IDLE_STEPS];
    private long recordedAtUs;

    IdleConnectionDetector(EvidenceDecay decay, long usualRoundUs) {
        this.decay = decay;
        this.usualRoundUs = usualRoundUs;
    }

    /** Step 0 is an idle time up to half a round; each doubling of it is one step more. */
    int idleStep(long idleUs) {
        return idleUs <= usualRoundUs / 2
                ? 0
                : Math.min(
                        IDLE_STEPS - 1,
                        Long.SIZE - Long.numberOfLeadingZeros(2 * idleUs / usualRoundUs));
    }

    /** @param silentAttempts 1 where the attempt outlasted its round, 0 where it was answered */
    void record(Attempt attempt, double silentAttempts, long nowUs) {
        double remaining = remaining(nowUs);
        recordedAtUs = nowUs;
        for (int i = 0; i < IDLE_STEPS; i++) {
            attempts[i] *= remaining;
            silent[i] *= remaining;
        }
        attempts[attempt.idleStep]++;
        silent[attempt.idleStep] += silentAttempts;
    }

    private double remaining(long nowUs) {
        return Math.pow(decay.remaining(recordedAtUs, nowUs), FADING);
    }

    /**
     * Whether connections that were idle for so long are held to be dropped.
     *
     * @param errors how many standard errors the shares of silence have to differ by at least
     */
    boolean isDropped(int idleStep, double errors, long nowUs) {
        double remaining = remaining(nowUs);
        double all = Arrays.stream(attempts).sum() * remaining;
        double allSilent = Arrays.stream(silent).sum() * remaining;
        double silentShare = allSilent / Math.max(1, all);
        double young = 0;
        double youngSilent = 0;
        for (int from = 1; from <= idleStep; from++) {
            young += attempts[from - 1] * remaining;
            youngSilent += silent[from - 1] * remaining;
            double old = all - young;
            double variance = silentShare
                    * (1 - silentShare)
                    * (1 / Math.max(1, old) + 1 / Math.max(1, young));
            double margin = errors * Math.sqrt(variance);
            if (isSilentMoreOften(old, allSilent - youngSilent, young, youngSilent, margin)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isSilentMoreOften(
            double old, double oldSilent, double young, double youngSilent, double margin) {
        // One slow call is no sign, whatever it is compared with.
        return oldSilent > 1
                && oldSilent / Math.max(1, old)
                        > Math.max(
                                LEAST_SILENT_SHARE,
                                LEAST_RATIO * youngSilent / Math.max(1, young) + margin);
    }
}
