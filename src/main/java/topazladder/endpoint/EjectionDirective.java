package topazladder.endpoint;

/**
 * What the leader tells one instance about one dependency endpoint. An endpoint without a directive is in use.
 *
 * @param token fencing token of the ejection that the group agreed on; 0 for a directive to this instance alone
 * @param ageSeconds seconds since the endpoint entered this phase
 */
public record EjectionDirective(String endpoint, Kind kind, long token, double ageSeconds) {

    /** The order of the constants is part of the wire format. */
    public enum Kind {
        /** Ejected: no instance sends calls to it. */
        OUT,
        /** Back in use on all instances, in slow start. */
        RETURNING,
        /**
         * This instance alone may eject it. The other instances find it healthy, so the fault likely lies in the
         * network path from here.
         */
        MAY_EJECT
    }
}
