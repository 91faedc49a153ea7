package topazladder.service;

/**
 * The final answer to a request.
 *
 * @param level the posted level, or null while none is posted
 * @param stayAway seconds that the caller is to stay away; 0 for none
 * @param body the result of the run; empty unless served
 */
public record Response(How how, Double level, double stayAway, boolean notElsewhere, byte[] body) {

    /** To a request that can't be decided on, by whoever is no judge of the level. */
    public static final Response UNUSABLE = new Response(How.FAILED, null, 0, false, new byte[0]);

    public enum How { SERVED, REJECTED, FAILED }
}
