package topazladder.delivery;

import topazladder.config.QueueSettings;
import topazladder.request.RequestClass.Idempotency;
import topazladder.service.Response.Status;

/**
 * What becomes of a delivery, from what became of its request. docs/amqp.md has it as a table; each delivery gets
 * exactly
 * one of these where its link lives.
 */
final class Outcomes {

    enum What {
        /** It is done; a reply goes first where one is wanted. */
        ACKNOWLEDGE,
        /** A copy waits on the route with a delay; once the broker has that, the message is acknowledged. */
        DELAY,
        /** Back to its queue, at the pace of returns. */
        RETURN,
        /** Back to its queue at once: this instance is leaving, and others take it. */
        HAND_BACK,
        /** Out of the way, with the reason. */
        DEAD_LETTER
    }

    /** Why something is dead-lettered. */
    enum Why {
        NONE, NOT_MAPPED, UNUSABLE, TRIED_TOO_OFTEN, MAY_HAVE_RUN, NO_SAFE_WAY_BACK
    }

    record Outcome(What what, Why why) {
    }

    private static final Outcome ACKNOWLEDGE = new Outcome(What.ACKNOWLEDGE, Why.NONE);

    private Outcomes() {}

    /**
     * @param status null where the request could not be decided on
     * @param tries before this one
     */
    static Outcome of(Status status, Idempotency repeats, int tries, QueueSettings terms, boolean leaving) {
        if (status == null) {
            return dead(Why.UNUSABLE);
        }
        return switch (status) {
            case SERVED -> ACKNOWLEDGE;
            // One that has an effect and was broken off may have run: another run could be the second.
            case FAILED -> repeats == Idempotency.RETRY_SAFE ? again(repeats, tries, terms, leaving)
                    : dead(Why.MAY_HAVE_RUN);
            case REJECTED -> again(repeats, tries, terms, leaving);
        };
    }

    private static Outcome again(Idempotency repeats, int tries, QueueSettings terms, boolean leaving) {
        if (leaving && repeats != Idempotency.AT_MOST_ONCE) {
            return new Outcome(What.HAND_BACK, Why.NONE);
        }
        if (tries + 1 >= terms.maxAttempts()) {
            return dead(Why.TRIED_TOO_OFTEN);
        }
        if (terms.delayRoute() != null) {
            return new Outcome(What.DELAY, Why.NONE);
        }
        // Sent back, a binding one would come again as redelivered, and nobody could tell that it never ran.
        return repeats == Idempotency.AT_MOST_ONCE ? dead(Why.NO_SAFE_WAY_BACK) : new Outcome(What.RETURN, Why.NONE);
    }

    static Outcome dead(Why why) {
        return new Outcome(What.DEAD_LETTER, why);
    }
}
