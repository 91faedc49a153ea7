package topazladder.disruption;

import java.util.Objects;

/**
 * What can be unavailable: an instance of the cluster, or a dependency endpoint. Two targets of the same kind and name
 * are equal, whatever their zones.
 *
 * @param zone where it runs, or empty
 */
public record DisruptionTarget(Kind kind, String name, String zone) implements Comparable<DisruptionTarget> {

    /** Sent and stored by ordinal: the order stays. */
    public enum Kind {
        /** An instance of this cluster. */
        INSTANCE,
        /** A dependency endpoint that the instances call. */
        DEPENDENCY
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof DisruptionTarget target && kind == target.kind && name.equals(target.name);
    }

    @Override
    public int hashCode() {
        return Objects.hash(kind, name);
    }

    @Override
    public int compareTo(DisruptionTarget other) {
        int byKind = kind.compareTo(other.kind);
        return byKind != 0 ? byKind : name.compareTo(other.name);
    }

    /** As operators read and write it, so the form stays. */
    @Override
    public String toString() {
        return (kind == Kind.DEPENDENCY ? "below " : "") + name;
    }
}
