package topazladder.consensus;

import java.util.Arrays;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The replicated state as of one log index, in one part for each registered state machine. A snapshot replaces the log
 * up to its index (log compaction, Raft dissertation, chapter 5).
 *
 * @param parts by their own type; a state machine on which nothing was agreed yet may have none
 */
public record StateSnapshot(Map<Class<?>, Object> parts) {

    /** A snapshot of these parts, each of another type; nulls are left out. */
    public static StateSnapshot of(Object... parts) {
        return new StateSnapshot(Arrays.stream(parts).filter(Objects::nonNull)
                .collect(Collectors.toUnmodifiableMap(Object::getClass, Function.identity())));
    }

    /** The part of that type; empty where the snapshot has none. */
    public <T> Optional<T> part(Class<T> type) {
        return Optional.ofNullable(parts.get(type)).map(type::cast);
    }
}
