package topazladder.search;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import topazladder.experiment.SearchExperiment;

/** The search itself, on a puzzle whose states are known; then the protocols, as far as seconds go. */
class ExplorerTest {

    /** Two jugs of three and five, of which one is to hold four. */
    private static final class Jugs implements Model {
        private int three;
        private int five;
        private final int looked;

        Jugs(int lookedFor) {
            looked = lookedFor;
        }

        @Override
        public List<String> choices() {
            return List.of("fill 3", "fill 5", "empty 3", "empty 5", "3 into 5", "5 into 3");
        }

        @Override
        public void take(int choice) {
            int over;
            switch (choice) {
                case 0 -> three = 3;
                case 1 -> five = 5;
                case 2 -> three = 0;
                case 3 -> five = 0;
                case 4 -> {
                    over = Math.min(three, 5 - five);
                    three -= over;
                    five += over;
                }
                default -> {
                    over = Math.min(five, 3 - three);
                    five -= over;
                    three += over;
                }
            }
        }

        @Override
        public String broken() {
            return five == looked ? "there are " + looked : null;
        }

        @Override
        public List<Object> parts() {
            return List.of(three, five);
        }
    }

    @Test
    void allStatesAreSeenOnceAndTheShortestWayIsFound() {
        Explorer.Found all = Explorer.explore(() -> new Jugs(99), 50, 1000);
        assertThat(all.states()).isEqualTo(16);
        assertThat(all.whole()).isTrue();
        Explorer.Found four = Explorer.explore(() -> new Jugs(4), 50, 1000);
        assertThat(four.way()).hasSize(6);
        assertThat(four.broken()).isEqualTo("there are 4");
    }

    private static final class Held {
        private final Map<String, Double> map = new HashMap<>();
        private final Set<String> set = new HashSet<>();
        private final List<Object> list = new ArrayList<>();
        private Held self;
    }

    @Test
    void objectsCountByWhatTheyHold() {
        Held a = new Held();
        Held b = new Held();
        for (int i = 0; i < 100; i++) {
            a.map.put("k" + i, i / 3.0);
            b.map.put("k" + (99 - i), (99 - i) / 3.0);
            a.set.add("s" + i);
            b.set.add("s" + (99 - i));
        }
        a.self = a;
        b.self = b;
        assertThat(Fingerprint.of(List.of(a))).isEqualTo(Fingerprint.of(List.of(b)));
        b.list.add(1);
        assertThat(Fingerprint.of(List.of(a))).isNotEqualTo(Fingerprint.of(List.of(b)));
    }

    @Test
    void thePromisesHoldWhateverComesInWhateverOrder() {
        assertThat(SearchExperiment.search(60, 15_000, false).bad()).isEmpty();
    }
}
