package tinlink.start;

import tinlink.decision.Index;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A policy document as this router can use it: the figures of lookups that may change while it
 * serves. Effects and windows are the data nodes' own and stay with each router's file; so do
 * addresses, keys and the machine's limits.
 */
public final class PolicyDoc {
    /**
     * For the lookups that are taken by it; those taken before keep the ones that they were taken
     * by.
     */
    public final Map<String, Index> indexes = new LinkedHashMap<>();
    /** Lookups and parts that may be in hand. */
    public final int openCap;

    /**
     * @param start what this router was started with: what a document can't go beyond here
     * @throws BadInput naming the key that it can't use, and why
     */
    public PolicyDoc(String text, RouterStart start) {
        this(JsonFile.of("policy", text), start);
    }

    private PolicyDoc(JsonFile f, RouterStart start) {
        indexes.putAll(start.lookups.indexes());
        JsonFile all = f.object("indexes");
        for (String name : all.names()) {
            Index own = start.lookups.indexes().get(name);
            if (own == null) {
                throw all.bad(
                        name,
                        "is no index of this router's: "
                                + String.join(", ", start.lookups.indexes().keySet()));
            }
            indexes.put(name, index(all.object(name), own));
        }
        openCap = f.whole("open_cap", start.lookups.openCap(), 1, start.mostOpen);
        JsonFile a = f.object("absent"); // Of the change itself, and read by whoever proposes it.
        a.text("rule", "");
        for (String key : List.of("wait_ms", "hold_ms", "lease_ms", "clock_error_ms")) {
            a.number(key, 0, 0, 3_600_000);
        }
        f.nothingElse();
    }

    private static Index index(JsonFile f, Index own) {
        Index x = new Index();
        x.effect = own.effect;
        x.windowUs = own.windowUs;
        x.secondStep = own.secondStep;
        x.hardUs = own.hardUs;
        x.softUs = f.micros("soft_ms", own.softUs / 1000.0, 1, own.hardUs / 1000.0);
        x.gain = f.number("gain", own.gain, 0, 1e6);
        x.lateGain = f.number("late_gain", own.lateGain, 0, 1e6);
        x.need = f.number("need", own.need, 1e-6, 1);
        x.floor = f.number("floor", Math.min(own.floor, x.need), 0, x.need);
        x.partialGain = f.number("partial_gain", own.partialGain, 0, 1e6);
        return x;
    }
}
