import java.nio.file.Path;

/** Runs a case and turns its end into the exit status; arguments: the repository's root, the record. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    interface Body {
        int run(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    private Case() {}

    static void main(String[] args, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = NOT_RUN;
        try (Record record = new Record(Path.of(args[1]))) {
            try {
                Deployment deployment = new Deployment(Path.of(args[0]), record);
                status = body.run(deployment, record, trouble);
                deployment.end();
            } catch (Exception | LinkageError e) {
                status = NOT_RUN;
                record.say("not run: " + e);
            }
            record.say("exit status " + status);
        } catch (java.io.IOException e) {
            System.out.println("not run: " + e);
        }
        System.exit(status);
    }
}
