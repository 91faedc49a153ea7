package topazladder.consensus;

import java.util.Arrays;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The replicated state at one log index, with one part per registered state machine. A snapshot replaces the log up to
 * its index (log compaction, Raft dissertation, chapter 5).
 *
 * @param parts by class; a state machine that has not applied a command yet may have no part
 */
public record StateSnapshot(Map<Class<?>, Object> parts) {

    /** Creates a snapshot of parts of different classes; null parts are left out. */
    public static StateSnapshot of(Object... parts) {
        return new StateSnapshot(Arrays.stream(parts).filter(Objects::nonNull)
                .collect(Collectors.toUnmodifiableMap(Object::getClass, Function.identity())));
    }

    /** The part of a class; empty if the snapshot has none. */
    public <T> Optional<T> part(Class<T> type) {
        return Optional.ofNullable(parts.get(type)).map(type::cast);
    }
}
