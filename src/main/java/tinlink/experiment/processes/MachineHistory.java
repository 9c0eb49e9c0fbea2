package tinlink.experiment.processes;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What was done to machines and when, as those wrote it down who did it: operators that took a
 * machine and gave it back, faults that befell one. What routers say of it is not in it.
 */
public final class MachineHistory {
    /** Each is named for what happens. */
    public enum EventKind {
        ASKED,
        TAKEN,
        GIVEN_BACK,
        OVER,
        FAILED,
        HEALED
    }

    /**
     * Something that happened, at its time.
     *
     * @param request empty for a fault
     */
    public record Event(long atUs, EventKind what, String machine, String request) {}

    private final List<Event> events = new ArrayList<>();

    public synchronized void add(long atUs, EventKind what, String machine, String request) {
        events.add(new Event(atUs, what, machine, request));
    }

    /** In the order in which they were written down. */
    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** Whether somebody waits for it, or has it. */
    public synchronized boolean isAskedFor(String machine) {
        Set<String> by = new HashSet<>();
        for (Event e : events) {
            if (e.machine.equals(machine) && e.what == EventKind.ASKED) {
                by.add(e.request);
            } else if (e.machine.equals(machine) && e.what == EventKind.OVER) {
                by.remove(e.request);
            }
        }
        return !by.isEmpty();
    }

    /**
     * When the machine was last taken for this request and not given back since; below 0 where it
     * is not.
     */
    public synchronized long takenAt(String machine, String request) {
        long at = -1;
        for (Event e : events) {
            if (e.machine.equals(machine) && (request == null || e.request.equals(request))) {
                at = e.what == EventKind.TAKEN ? e.atUs : e.what == EventKind.GIVEN_BACK ? -1 : at;
            }
        }
        return at;
    }
}
