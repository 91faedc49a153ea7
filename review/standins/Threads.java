package standins;

/** Daemon threads of the stand-ins; an error ends the thread. */
final class Threads {
    interface Body {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (java.io.IOException | InterruptedException e) {
                return; // its connection or the case is over
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
