package topazladder.knowledge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/**
 * What one instance knows by others and passes on. The module takes each kind and subject once: taken again, the same
 * events would count twice in its means.
 */
public final class Learning {
    private final Origin here;
    private final DoubleSupplier clock;
    private final Set<Kind> leftOut;
    /** Bounded by kinds and request classes. */
    private final Set<String> handedOver = new HashSet<>();
    private Knowledge heard = Knowledge.NONE;
    private long tellings;

    /** @param clock seconds that never run backwards */
    public Learning(Origin here, DoubleSupplier clock, Collection<Kind> leftOut) {
        this.here = here;
        this.clock = clock;
        this.leftOut = leftOut.isEmpty() ? EnumSet.noneOf(Kind.class) : EnumSet.copyOf(leftOut);
    }

    public Origin here() {
        return here;
    }

    /** Facts with what can't be are passed over. Returns how many were taken. */
    public int hear(Collection<Fact> facts) {
        List<Fact> sound = facts.stream().filter(Fact::plausible).filter(f -> !f.origin().same(here)).toList();
        heard = heard.with(sound).bounded(clock.getAsDouble());
        return sound.size();
    }

    /** What the module was not told yet, as it holds here and now. */
    public List<LearnedEstimate> forTheModule() {
        List<LearnedEstimate> fresh = new ArrayList<>();
        for (LearnedEstimate l : heard.seenFrom(here, clock.getAsDouble())) {
            if (!leftOut.contains(l.kind()) && handedOver.add(l.kind() + "/" + l.subject())) {
                fresh.add(l);
            }
        }
        return fresh;
    }

    /** What is given to whoever asks: the own facts as they are now, and those heard of others with their origins. */
    public Knowledge toTell(Collection<LearnedEstimate> own) {
        double now = clock.getAsDouble();
        long version = ++tellings;
        heard = heard.bounded(now);
        return heard.with(own.stream().map(l -> new Fact(l.kind(), l.subject(), here, l.value(), l.weight(),
                now - l.age(), version)).filter(Fact::plausible).toList());
    }

    public int heard() {
        return heard.size();
    }
}
