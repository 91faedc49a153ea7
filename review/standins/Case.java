package standins;

import java.nio.file.Path;

/** Plays one case: status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Requests requests = new Requests();
    final Programs programs;
    final Record record;

    Case(String folder) throws Exception {
        record = new Record(Path.of(folder, "record.txt"));
        programs = new Programs();
    }

    /** Plays it, and returns in words how the rule was broken, or null. */
    abstract String play() throws Exception;

    /** Ends the Java machine. */
    final void run() {
        int status = 2;
        try {
            record.say(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            String broken = play();
            record.say(broken == null ? "the rule held" : "THE RULE WAS BROKEN: " + broken);
            status = broken == null ? 0 : 1;
        } catch (CannotRun e) {
            record.say("the case could not run: " + e.getMessage());
        } catch (Exception e) {
            record.say("the case could not run: " + e);
            e.printStackTrace();
        } finally {
            programs.close();
            record.close();
        }
        System.exit(status);
    }
}
