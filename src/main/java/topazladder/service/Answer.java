package topazladder.service;

/**
 * The final answer to a ticket.
 *
 * @param level the posted level, or null while none is posted
 * @param stayAway seconds that the caller is to stay away; 0 for none
 * @param body the result of the run; empty unless honoured
 */
public record Answer(How how, Double level, double stayAway, boolean notElsewhere, byte[] body) {

    /** To a ticket that can't be decided on, by whoever is no judge of the level. */
    public static final Answer UNUSABLE = new Answer(How.BROKEN_OFF, null, 0, false, new byte[0]);

    public enum How { HONOURED, DEFERRED, BROKEN_OFF }
}
