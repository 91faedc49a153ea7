package topazladder.disruption;

import java.util.Objects;

/**
 * What can be out: an instance of the hall, or a service below. Two of one kind and name are one, whatever is said of
 * their zone.
 *
 * @param zone where it stands, or empty
 */
public record DisruptionTarget(Kind kind, String name, String zone) implements Comparable<DisruptionTarget> {

    public enum Kind { INSTANCE, BELOW }

    @Override
    public boolean equals(Object other) {
        return other instanceof DisruptionTarget s && kind == s.kind && name.equals(s.name);
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

    @Override
    public String toString() {
        return (kind == Kind.BELOW ? "below " : "") + name;
    }
}
