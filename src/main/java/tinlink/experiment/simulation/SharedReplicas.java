package tinlink.experiment.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Replicas of one agreed state machine that have their states in common. A version is what stands
 * after the same lines; its state is computed once, when the first replica asks for it, from the
 * nearest version before it whose state is still there. A state that some replica looks at is copied
 * before it is played on; one that nobody looks at any more is played on in place. So a play with
 * hundreds of replicas holds as many states as there are versions looked at, and plays a line about
 * once.
 *
 * <p>It rests on the machine being deterministic, as replicated state machines have to be.
 */
final class SharedReplicas<S> {
    /** What is replicated. */
    interface StateMachine<S> {
        /** As before the first line. */
        S initial();

        S copy(S state);

        /** Changes the state; @return what is said to whoever proposed the line */
        String apply(S state, String line);

        List<String> snapshot(S state);

        S restore(List<String> lines);
    }

    /** What stands after some lines. */
    private final class Version {
        final Version previous;
        final String line;
        final long number;
        /** By the line that came next first. */
        Version next;
        /** Null while nobody has asked for it, or once it has been played on. */
        S state;

        String reply;
        /** Its state as lines; null while nobody has asked for them. */
        List<String> lines;
        /** What it was started from, where it was; not always as the machine would write it. */
        List<String> source;
        /** Replicas that look at this state. */
        int viewers;

        Version(Version previous, String line) {
            this.previous = previous;
            this.line = line;
            number = previous == null ? 0 : previous.number + 1;
        }

        boolean mayBePlayedOn() {
            return previous != null && viewers == 0 && !checkpoints.contains(this);
        }

        void dropState() {
            if (mayBePlayedOn()) {
                state = null;
            }
        }
    }

    /** So many versions apart a state is kept that nobody looks at: who comes late starts from there. */
    private static final int CHECKPOINT_EVERY = 64;

    private static final int MOST_CHECKPOINTS = 4;
    /** States that nobody looks at, and that may be played on. */
    private static final int MOST_IDLE = 16;
    /** Descriptions by lines that are remembered. */
    private static final int MOST_DESCRIBED = 64;

    private final StateMachine<S> machine;
    private final Version first;
    private final Deque<Version> checkpoints = new ArrayDeque<>();
    private final Deque<Version> idle = new ArrayDeque<>();
    /** Versions whose lines have been asked for or started from, newest first. */
    private final Deque<Version> described = new ArrayDeque<>();

    private long linesApplied;
    private long copies;

    SharedReplicas(StateMachine<S> machine) {
        this.machine = machine;
        first = new Version(null, "");
        first.state = machine.initial();
    }

    Replica replica() {
        return new Replica();
    }

    /** Lines that were played, by all replicas together. */
    long linesApplied() {
        return linesApplied;
    }

    /** States that were copied. */
    long copies() {
        return copies;
    }

    private Version after(Version version, String line) {
        if (version.next != null && version.next.line.equals(line)) {
            return version.next;
        }
        Version next = new Version(version, line);
        if (version.next == null) {
            version.next = next;
        }
        return next;
    }

    private S state(Version version) {
        if (version.state != null) {
            return version.state;
        }
        Deque<Version> path = new ArrayDeque<>();
        Version from = version;
        while (from.state == null) {
            path.push(from);
            from = from.previous;
        }
        S state = from.state;
        if (from.mayBePlayedOn()) {
            from.state = null;
            idle.remove(from);
        } else {
            state = machine.copy(state);
            copies++;
        }
        for (Version step : path) {
            step.reply = machine.apply(state, step.line);
            linesApplied++;
        }
        version.state = state;
        if (version.number % CHECKPOINT_EVERY == 0) {
            checkpoints.add(version);
            if (checkpoints.size() > MOST_CHECKPOINTS) {
                checkpoints.remove().dropState();
            }
        } else if (version.viewers == 0) {
            idles(version);
        }
        return state;
    }

    private void idles(Version version) {
        idle.add(version);
        if (idle.size() > MOST_IDLE) {
            idle.remove().dropState();
        }
    }

    private String reply(Version version) {
        if (version.reply == null) {
            state(version);
        }
        return version.reply;
    }

    private List<String> lines(Version version) {
        if (version.lines == null) {
            version.lines = List.copyOf(machine.snapshot(state(version)));
            describe(version);
        }
        return version.lines;
    }

    private void describe(Version version) {
        described.push(version);
        if (described.size() > MOST_DESCRIBED) {
            Version oldest = described.removeLast();
            oldest.lines = null;
            oldest.source = null;
        }
    }

    /** The version that those lines describe: a known one where there is one, else a new beginning. */
    private Version of(List<String> lines) {
        for (Version known : described) {
            if (known.lines == lines || lines.equals(known.lines) || lines.equals(known.source)) {
                return known;
            }
        }
        Version fresh = new Version(null, "");
        fresh.state = machine.restore(lines);
        fresh.source = List.copyOf(lines);
        describe(fresh);
        return fresh;
    }

    /** One replica: a place among the versions. */
    final class Replica {
        private Version version = first;
        /** Whether it looks at the state of its version. */
        private boolean views;

        S state() {
            if (!views) {
                views = true;
                version.viewers++;
            }
            return SharedReplicas.this.state(version);
        }

        String apply(String line) {
            Version next = after(version, line);
            move(next);
            return reply(next);
        }

        List<String> snapshot() {
            return SharedReplicas.this.lines(version);
        }

        void restore(List<String> lines) {
            move(of(lines));
        }

        void release() {
            move(first);
        }

        private void move(Version to) {
            if (views) {
                views = false;
                version.viewers--;
                if (version.state != null && version.mayBePlayedOn()) {
                    idles(version);
                }
            }
            version = to;
        }
    }
}
