package topazladder.disruption;

/**
 * One subject that is out, or wants to be, as the hall has agreed.
 *
 * @param why it is out
 * @param phase how far it has come
 * @param request by which the asker knows its question again; one that is asked twice is one
 * @param token under which it may be out; 0 while it has only asked
 * @param life of the process that the phase is about; another life of the name is another process
 * @param asked place in the order of asking
 * @param by who asked, for operators
 */
public record Disruption(DisruptionTarget subject, Why why, Phase phase, String request, long token, long life,
        long asked, String by) {

    /** Why a subject is out. The first three wait for their turn; the others are a fact when they are told. */
    public enum Why {
        RELEASE, OPERATOR, ILL,
        /** It was told to leave by somebody else, and obeys at once. */
        LEAVING,
        /** Nobody hears it. */
        LOST;

        public boolean waits() {
            return this == RELEASE || this == OPERATOR || this == ILL;
        }
    }

    public enum Phase {
        /** It waits for its turn, and takes no place. */
        ASKED,
        /** It may go, and takes a place whether it has gone or not. */
        GRANTED,
        /** It has gone. */
        GONE,
        /** It is back and not steady yet. */
        RETURNING
    }

    public boolean takesPlace() {
        return phase != Phase.ASKED;
    }

    Disruption in(Phase next, long of) {
        return new Disruption(subject, why, next, request, token, of, asked, by);
    }

    Disruption granted(long under, long of) {
        return new Disruption(subject, why, Phase.GRANTED, request, under, of, asked, by);
    }
}
