package topazladder.knowledge;

/**
 * Who learned a fact, and on what machine. A successor under an old name has an incarnation of its own, so that it is
 * never taken for the one before.
 *
 * @param cores of its machine
 * @param coreSpeed beside the installation's yardstick of 1; 0 where nobody knows
 * @param settings digest of the request classes and of what lies below; facts of another mix of work hold less
 */
public record Origin(String name, long incarnation, double cores, double coreSpeed, long settings) {

    /** Whether it is the same process. */
    boolean same(Origin other) {
        return name.equals(other.name) && incarnation == other.incarnation;
    }
}
