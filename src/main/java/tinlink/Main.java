package tinlink;

import tinlink.benchlink.BenchLink;

/** Dispatches the commands of the jar. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar tinlink.jar benchlink");
            System.err.println("  benchlink   host decision instances on standard input and output");
            System.exit(2);
        }
        System.exit(new BenchLink(System.in, System.out, System.err).run());
    }
}
