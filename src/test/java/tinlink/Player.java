package tinlink;

import tinlink.decision.Aggregator;
import tinlink.decision.DataNode;
import tinlink.decision.FastestValid;
import tinlink.decision.Host;
import tinlink.decision.Index;
import tinlink.decision.Lookup;
import tinlink.decision.Outcome;
import tinlink.decision.Part;
import tinlink.decision.PartCall;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/** Plays one scenario against the module; docs/scenarios.md has the notation. */
final class Player implements Host {
    private final Map<String, String> figures = new HashMap<>(Map.of(
            "step", "1", "tries", "4", "copies", "yes", "cancel", "yes", "cells", "1", "reach", "1",
            "bundle", "1", "call", "0", "group", "1"));
    private final Map<String, Index> indexes = new LinkedHashMap<>();
    private final Map<Long, DataNode> nodes = new LinkedHashMap<>();
    private final Map<String, Lookup> lookups = new HashMap<>();
    private final Map<Object, String> names = new HashMap<>();
    private final Map<String, Part> parts = new HashMap<>();
    private final List<String> left = new ArrayList<>();
    private final TreeSet<Long> wakes = new TreeSet<>();
    private Aggregator module;
    private long now;

    void play(List<String> script) {
        int no = 0;
        for (String raw : script) {
            no++;
            String line = raw.replaceAll("#\\s.*|^#.*", "").trim();
            try {
                for (String one : line.isEmpty() ? new String[0] : line.split(";\\s*")) {
                    line(one.split("\\s+"));
                }
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError(
                        "line " + no + ": " + raw.trim() + "\n  " + e.getMessage(), e);
            }
        }
        nothingLeft();
    }

    private void line(String[] w) {
        switch (w[0]) {
            case "set" -> {
                for (int i = 1; i < w.length; i += 2) {
                    figures.put(w[i], w[i + 1]);
                }
            }
            case "index" -> index(w);
            case "at" -> {
                nothingLeft();
                until((long) (1000 * Double.parseDouble(w[1])));
            }
            case "stall" -> {
                settle();
                now = ms(w[1]);
                module().clock(now);
            }
            case "=" -> {
                settle();
                if (w[1].equals("nothing")) {
                    nothingLeft();
                } else if (w.length > 2
                        && lookups.containsKey(w[2])
                        && w[1].matches("send|cancel")) {
                    expectAll(w);
                } else {
                    expect(String.join(" ", Arrays.copyOfRange(w, 1, w.length)));
                }
            }
            case "node" -> node(w);
            case "nodes" -> {
                for (int i = 1; i < w.length; i++) {
                    node(new String[] {"node", w[i]});
                }
                module().nodes(Aggregator.News.FULL);
            }
            case "list" -> module().nodes(Aggregator.News.valueOf(w[1].toUpperCase(Locale.ROOT)));
            case "lookup" -> {
                Lookup lk = new Lookup();
                lk.index = indexes.get(w[2]);
                lk.leavesAt = now + ms(w[4]);
                lk.repeat = w[w.length - 1].equals("repeat");
                lk.forwarded = w[w.length - 1].equals("forwarded");
                lookups.put(w[1], lk);
                names.put(lk, w[1]);
                lk.announced = shards(w).size();
                module().lookup(lk);
                takeParts(lk, w);
            }
            case "more" -> takeParts(lookups.get(w[1]), w);
            case "gone" -> module().clientGone(lookups.get(w[1]));
            default -> end(Outcome.valueOf(w[0].toUpperCase(Locale.ROOT).replace('-', '_')), w[1]);
        }
    }

    private void expect(String want) {
        if (!left.remove(want)) {
            throw new AssertionError("expected '" + want + "', left are " + left);
        }
    }

    /** "send q 1 2" over and over for all parts of q, or "cancel q" for the first call of each. */
    private void expectAll(String[] w) {
        for (int i = 0; i < lookups.get(w[2]).parts.size(); i++) {
            String part = w[2] + "." + i;
            expect(w[1] + " " + part
                    + (w[1].equals("cancel") ? "#0" : " " + w[3 + i % (w.length - 3)]));
        }
    }

    private void takeParts(Lookup lk, String[] w) {
        List<String> weights = after(w, "weights");
        List<Integer> shards = shards(w);
        for (int i = 0; i < shards.size(); i++) {
            Part p = new Part();
            p.lookup = lk;
            p.shard = shards.get(i);
            p.weight = weights.isEmpty() ? 1.0 / shards.size() : Double.parseDouble(weights.get(i));
            String name = names.get(lk) + (lk.secondStep ? ".b" : ".") + i;
            names.put(p, name);
            parts.put(name, p);
            module().part(p);
        }
    }

    private static List<Integer> shards(String[] w) {
        List<Integer> all = new ArrayList<>();
        for (String s : after(w, "shards")) {
            String[] ends = s.split("-", 0);
            for (int i = Integer.parseInt(ends[0]);
                    i <= Integer.parseInt(ends[ends.length - 1]);
                    i++) {
                all.add(i);
            }
        }
        return all;
    }

    private static List<String> after(String[] w, String key) {
        int from = Arrays.asList(w).indexOf(key) + 1;
        int to = from;
        while (from > 0 && to < w.length && Character.isDigit(w[to].charAt(0))) {
            to++;
        }
        return Arrays.asList(w).subList(from, to);
    }

    /**
     * "q" ends every part call that is out of the lookup, "q.0" the last one of a part, "q.0#1"
     * that one.
     */
    private void end(Outcome how, String name) {
        if (lookups.containsKey(name)) {
            lookups.get(name).parts.stream().toList().forEach(p -> end(how, names.get(p)));
            return;
        }
        Part p = parts.get(name.replaceAll("#.*", ""));
        int number = name.contains("#")
                ? Integer.parseInt(name.replaceAll(".*#", ""))
                : p.calls.size() - 1;
        PartCall c = p.calls.get(number);
        if (c.outcome != null) {
            throw new AssertionError("that part call is over: " + c.outcome);
        }
        module().outcome(c, how, now - c.sentAt, -1);
    }

    private void index(String[] w) {
        Index x = new Index();
        x.softUs = ms(after(w, "soft").get(0));
        x.hardUs = 10 * x.softUs;
        after(w, "window").forEach(t -> x.windowUs = ms(t));
        after(w, "need").forEach(n -> x.need = Double.parseDouble(n));
        x.floor = x.need;
        after(w, "floor").forEach(n -> x.floor = Double.parseDouble(n));
        after(w, "second").forEach(n -> x.secondStep = Integer.parseInt(n));
        x.lateGain = Arrays.asList(w).contains("late") ? 0.3 : 0;
        for (Index.Effect e : Index.Effect.values()) {
            if (Arrays.asList(w).contains(e.name().toLowerCase(Locale.ROOT).replace('_', '-'))) {
                x.effect = e;
            }
        }
        indexes.put(w[1], x);
    }

    private void node(String[] w) {
        long id = Long.parseLong(w[1]);
        DataNode n = nodes.computeIfAbsent(id, DataNode::new);
        long startedAt = n.startedAt;
        after(w, "cell").forEach(c -> n.cell = Integer.parseInt(c));
        after(w, "zone").forEach(z -> n.zone = Integer.parseInt(z));
        after(w, "line").forEach(t -> n.lineUs = ms(t));
        after(w, "started").forEach(t -> n.startedAt = ms(t));
        String last = w[w.length - 1];
        n.state = last.equals("draining")
                ? DataNode.State.DRAINING
                : last.equals("gone") ? DataNode.State.GONE : DataNode.State.READY;
        module().listed(n, startedAt != n.startedAt && module != null);
    }

    private Aggregator module() {
        if (module == null) {
            long longestSoft =
                    indexes.values().stream().mapToLong(x -> x.softUs).max().orElse(1);
            FastestValid.Health health = new FastestValid.Health(longestSoft);
            module = new FastestValid(
                    new FastestValid.Rounds(
                            us("step"), whole("tries"), yes("copies"), yes("cancel")),
                    new FastestValid.Replicas(
                            whole("cells"),
                            whole("reach"),
                            whole("bundle"),
                            us("call"),
                            whole("zone"),
                            num("cross"),
                            health),
                    health,
                    new FastestValid.ColdGuard(
                            7, whole("group"), 0.2, 10_000_000, 2, 2_000_000, health),
                    new FastestValid.Budget(us("lookback"), whole("free"), num("ratio"), 100),
                    new FastestValid.Admission(7, us("comeback")),
                    new FastestValid.ListFollowing(7, yes("asks"), us("mustask")));
            module.clock(now);
        }
        return module;
    }

    private void until(long to) {
        settle();
        while (!wakes.isEmpty() && wakes.first() <= to) {
            now = Math.max(now, wakes.pollFirst());
            module().clock(now);
            module().timer();
            settle();
        }
        now = to;
        module().clock(now);
    }

    private void settle() {
        while (module().decide(this)) {
            // Each decision is noted as it leaves.
        }
    }

    private void nothingLeft() {
        settle();
        if (!left.isEmpty()) {
            throw new AssertionError("decisions that the scenario does not expect: " + left);
        }
    }

    private double num(String key) {
        return Double.parseDouble(figures.getOrDefault(key, "0"));
    }

    private int whole(String key) {
        return (int) num(key);
    }

    private long us(String key) {
        return ms(figures.getOrDefault(key, "0"));
    }

    private boolean yes(String key) {
        return figures.getOrDefault(key, "no").equals("yes");
    }

    private static long ms(String text) {
        return Math.round(1000 * Double.parseDouble(text));
    }

    @Override
    public void send(PartCall c, long limitUs) {
        left.add("send " + names.get(c.part) + " " + c.node.id);
    }

    @Override
    public void cancel(PartCall c) {
        left.add("cancel " + names.get(c.part) + "#" + c.number);
    }

    @Override
    public void release(DataNode node) {
        left.add("release " + node.id);
    }

    @Override
    public void answer(Lookup lk, boolean whole) {
        left.add("answer " + names.get(lk) + (whole ? " whole" : " partial"));
    }

    @Override
    public void nack(Lookup lk, long comeBackUs) {
        left.add("nack " + names.get(lk) + (comeBackUs > 0 ? " " + comeBackUs / 1000 : ""));
    }

    @Override
    public void abort(Lookup lk) {
        left.add("abort " + names.get(lk));
    }

    @Override
    public void wake(long atUs) {
        wakes.add(atUs);
    }

    @Override
    public void followList() {
        left.add("follow");
    }
}
