package topazladder.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** Lines through measurements, and what they say of one that was held back. */
class SlopeTest {

    @Property(tries = 200)
    void aLineIsFoundAsItIs(@ForAll @DoubleRange(min = -50, max = 50) double slope,
            @ForAll @DoubleRange(min = -1000, max = 1000) double intercept) {
        List<Slope.Point> points = new ArrayList<>();
        for (int x : new int[] {50, 100, 200, 400, 800}) {
            points.add(new Slope.Point(x, intercept + slope * x));
        }
        Slope s = Slope.of(points, 400);
        assertThat(s.slope()).isCloseTo(slope, within(1e-6));
        assertThat(s.at(1500)).isCloseTo(intercept + slope * 1500, within(1e-3));
        assertThat(s.heldBack().predicted()).isCloseTo(s.heldBack().measured(), within(1e-3));
    }

    @Test
    void aCurveIsMissedWhereItWasHeldBack() {
        List<Slope.Point> points = List.of(new Slope.Point(1, 1), new Slope.Point(2, 4), new Slope.Point(3, 9),
                new Slope.Point(10, 100));
        Slope s = Slope.of(points, 10);
        assertThat(s.heldBack().measured()).isEqualTo(100);
        assertThat(s.heldBack().miss()).isGreaterThan(0.5);
        assertThat(s.interval()).isPositive();
    }

    @Test
    void ofTwoPointsNothingIsSaidOfTheInterval() {
        Slope s = Slope.of(List.of(new Slope.Point(1, 1), new Slope.Point(2, 3)), -1);
        assertThat(s.slope()).isCloseTo(2, within(1e-12));
        assertThat(s.interval()).isNaN();
        assertThat(s.heldBack()).isNull();
    }
}
