package topazladder.delivery;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Ids of the requests that deliveries become: at random, so that those of other instances and other lives differ. */
public final class RandomRequestIds implements Supplier<String> {
    private final RandomGenerator random;

    public RandomRequestIds(RandomGenerator random) {
        this.random = random;
    }

    /** The next id: 16 hexadecimal digits. */
    @Override
    public String get() {
        return String.format("%016x", random.nextLong());
    }
}
