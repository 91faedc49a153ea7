package topazladder.warmstart;

/**
 * The process that measured an estimate, and its machine. A process that succeeds another under the same name has an
 * incarnation of its own, so that their facts are kept apart.
 *
 * @param name of the instance
 * @param incarnation of the process
 * @param cores of its machine
 * @param coreSpeed relative to the installation's reference of 1; 0 where it is unknown
 * @param settingsDigest digest of the request classes and the dependencies; others' estimates count for less
 */
public record Origin(String name, long incarnation, double cores, double coreSpeed, long settingsDigest) {

    /** Whether both are the same process. */
    boolean isSameProcess(Origin other) {
        return name.equals(other.name) && incarnation == other.incarnation;
    }
}
