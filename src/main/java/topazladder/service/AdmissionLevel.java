package topazladder.service;

/**
 * The admission level that an instance posts to its callers: the least rank, from 0 to 1, that it still admits, so that
 * they hold back what would be rejected.
 *
 * @param isPosted whether a level is posted at all; none is before the first decision on it
 * @param value the level; 0 while none is posted
 */
public record AdmissionLevel(boolean isPosted, double value) {

    /** No level is posted. */
    public static final AdmissionLevel NONE = new AdmissionLevel(false, 0);

    /** A posted level. */
    public static AdmissionLevel of(double value) {
        return new AdmissionLevel(true, value);
    }
}
