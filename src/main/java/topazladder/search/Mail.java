package topazladder.search;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Messages on their way, of which any may come next; and some may be lost, or come and still be on their way.
 *
 * @param <M> what is said
 */
public final class Mail<M> {
    private final int most;
    private final boolean twice;
    private final List<M> on = new ArrayList<>(); // bounded by the search's depth
    private int used;

    /**
     * @param losses messages that may be lost, or come twice, in all
     * @param twice whether they may come twice as well
     */
    public Mail(int losses, boolean twice) {
        most = losses;
        this.twice = twice;
    }

    public void add(M message) {
        on.add(message);
    }

    public boolean has(Predicate<M> like) {
        return on.stream().anyMatch(like);
    }

    /** The choices that there are, in the order of {@link #take}. */
    public List<String> choices() {
        List<String> all = new ArrayList<>();
        on.forEach(m -> all.add("comes: " + m));
        if (used < most) {
            on.forEach(m -> all.add("is lost: " + m));
            if (twice) {
                on.forEach(m -> all.add("comes, and is still on its way: " + m));
            }
        }
        return all;
    }

    /**
     * Takes one of the choices.
     *
     * @return how many choices there were, where it is none of them; -1 where it is done
     */
    public int take(int choice, Consumer<M> comes, Consumer<M> isLost) {
        int size = on.size();
        int there = size * (used >= most ? 1 : twice ? 3 : 2);
        if (choice >= there) {
            return there;
        }
        int which = choice % size;
        if (choice < size) {
            comes.accept(on.remove(which));
        } else if (choice < 2 * size) {
            used++;
            isLost.accept(on.remove(which));
        } else {
            used++;
            comes.accept(on.get(which));
        }
        return -1;
    }
}
