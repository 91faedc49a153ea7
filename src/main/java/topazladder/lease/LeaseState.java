package topazladder.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * A duty as the group has it.
 *
 * @param token the last one granted; it only grows
 * @param holder who was granted it under that token, or null
 * @param halted why nobody is granted it, or null
 * @param wanted the member that an operator wants to hold it, or empty
 * @param placed whether an operator put it where it is; the load is not evened at its cost
 * @param losses of holders that were lost, latest last; emptied by one that settles
 */
public record LeaseState(LeaseSettings terms, long token, MemberIdentity holder, String halted, String wanted,
        boolean placed,
        List<Loss> losses) {

    /** Losses kept; more than any bound that terms may set. */
    static final int MOST_LOSSES = 16;

    /** @param ended whether the process is known to have ended, or to have failed */
    public record Loss(long token, MemberIdentity holder, boolean ended) {
    }

    static LeaseState fresh(LeaseSettings terms, long token) {
        return new LeaseState(terms, token, null, null, "", false, List.of());
    }

    public boolean held() {
        return holder != null;
    }

    LeaseState with(LeaseSettings other) {
        return new LeaseState(other, token, holder, halted, wanted, placed, losses);
    }

    LeaseState granted(MemberIdentity to, long under) {
        boolean asWanted = to.name().equals(wanted);
        return new LeaseState(terms, under, to, halted, asWanted ? "" : wanted, asWanted, losses);
    }

    LeaseState free() {
        return new LeaseState(terms, token, null, halted, wanted, placed, losses);
    }

    LeaseState halted(String why) {
        return new LeaseState(terms, token, holder, why, wanted, placed, losses);
    }

    LeaseState resumed() {
        return new LeaseState(terms, token, holder, null, wanted, placed, List.of());
    }

    LeaseState wanted(String member) {
        if (held() && holder.name().equals(member)) {
            return new LeaseState(terms, token, holder, halted, "", true, losses);
        }
        return new LeaseState(terms, token, holder, halted, member, placed, losses);
    }

    LeaseState settled() {
        return new LeaseState(terms, token, holder, halted, wanted, placed, List.of());
    }

    /** A loss more, or one that is known better; halts once enough holders in a row are known to have ended. */
    LeaseState lost(Loss loss) {
        List<Loss> now = new ArrayList<>(losses);
        now.removeIf(l -> l.token() == loss.token());
        now.add(loss);
        now.sort((a, b) -> Long.compare(a.token(), b.token()));
        while (now.size() > MOST_LOSSES) {
            now.remove(0);
        }
        long ended = now.stream().filter(Loss::ended).count();
        String why = halted == null && ended >= terms.mostLosses()
                ? "it brought down " + ended + " holders one after another" : halted;
        return new LeaseState(terms, token, holder, why, wanted, placed, List.copyOf(now));
    }
}
