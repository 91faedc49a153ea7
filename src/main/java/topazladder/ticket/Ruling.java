package topazladder.ticket;

/**
 * One decision. What a field means depends on {@link What}; the others are empty.
 *
 * @param ticket the ticket ruled on, or null
 * @param number seconds, or the level
 * @param yes for DEFER: not to be tried elsewhere; for HEALTH: good
 * @param text for NOTE
 */
public record Ruling(What what, Ticket ticket, double number, boolean yes, String text) {

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

    public static Ruling of(What what, Ticket ticket) {
        return new Ruling(what, ticket, 0, false, "");
    }

    public static Ruling of(What what, Ticket ticket, double number) {
        return new Ruling(what, ticket, number, false, "");
    }

    public static Ruling of(What what, double number) {
        return new Ruling(what, null, number, false, "");
    }

    public static Ruling defer(Ticket ticket, double stayAway, boolean notElsewhere) {
        return new Ruling(What.DEFER, ticket, stayAway, notElsewhere, "");
    }

    public static Ruling health(boolean good) {
        return new Ruling(What.HEALTH, null, 0, good, "");
    }

    public static Ruling note(String text) {
        return new Ruling(What.NOTE, null, 0, false, text);
    }
}
