package topazladder.emulator.hall;

import java.util.SplittableRandom;

/**
 * Whoever starts instances again, as it does or fails to: in the version it is told, late, not at all, in the wrong
 * one, or so that it ends at once a few times.
 *
 * @param wrong chance of the version that it was, in place of the one it should be
 * @param late chance of taking long
 * @param never chance of not starting it, until an operator does
 * @param loops chance that the first processes end soon after their start
 */
public record Supervisor(double wrong, double late, double never, double loops) {
    public static final Supervisor GOOD = new Supervisor(0, 0, 0, 0);

    /** What it does this time. */
    public enum Does { RIGHT, WRONG, LATE, NEVER, LOOPS }

    public Does next(SplittableRandom chance) {
        double x = chance.nextDouble();
        return x < wrong ? Does.WRONG : x < wrong + late ? Does.LATE : x < wrong + late + never ? Does.NEVER
                : x < wrong + late + never + loops ? Does.LOOPS : Does.RIGHT;
    }
}
