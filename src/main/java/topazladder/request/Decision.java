package topazladder.request;

/**
 * One decision. What a field means depends on {@link What}; the others are empty.
 *
 * @param request the request ruled on, or null
 * @param number seconds, or the level
 * @param yes for DEFER: not to be tried elsewhere; for HEALTH: good
 * @param text for NOTE
 */
public record Decision(What what, Request request, double number, boolean yes, String text) {

    public enum What {
        START,
        /** Turn away; number = seconds to stay away. */
        DEFER,
        BREAK_OFF,
        /** Take off the cores, its work lost. */
        STOP,
        /** Answer a repeat from its forerunner's result. */
        JOIN,
        /** Keep the fingerprint; number = seconds. */
        REMEMBER,
        FORGET,
        /** Make the call it waits for; number = seconds until the call is given up. */
        CALL,
        /** Leave the call out and answer poorer. */
        DO_WITHOUT,
        /** Post the level; number = the level in the callers' unit. */
        POST,
        /** Answer checks with this from store. */
        HEALTH,
        /** Close connections idle for this many seconds. */
        CLOSE_IDLE,
        /** Ask for a timer; number = seconds. */
        WAKE,
        NOTE
    }

    public static Decision of(What what, Request request) {
        return new Decision(what, request, 0, false, "");
    }

    public static Decision of(What what, Request request, double number) {
        return new Decision(what, request, number, false, "");
    }

    public static Decision of(What what, double number) {
        return new Decision(what, null, number, false, "");
    }

    public static Decision defer(Request request, double stayAway, boolean notElsewhere) {
        return new Decision(What.DEFER, request, stayAway, notElsewhere, "");
    }

    public static Decision health(boolean good) {
        return new Decision(What.HEALTH, null, 0, good, "");
    }

    public static Decision note(String text) {
        return new Decision(What.NOTE, null, 0, false, text);
    }
}
