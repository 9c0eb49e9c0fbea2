/** Threads that end with the process. */
final class Threads {
    private Threads() {}

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static void start(Runnable task) {
        daemon(task).start();
    }
}
