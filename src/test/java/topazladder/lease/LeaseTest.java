package topazladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleConsumer;
import org.junit.jupiter.api.Test;

/**
 * The promise that all else hangs on, between one leader and one holder whose clocks run apart: once the leader takes
 * a lease for over, the holder is told no more that it may go on. Answers and asks come late, twice, or not at all.
 */
class LeaseTest {
    private static final LeaseSettings PROBE = new LeaseSettings("probe", 2, 3);
    private static final MemberIdentity HERE = new MemberIdentity("n1", 7);

    private record Late(double at, DoubleConsumer what) {
    }

    /** Seconds of true time from the end as the leader has it to the last moment the holder was told it may go on. */
    private static double played(long seed, boolean clocksIgnored) {
        SplittableRandom chance = new SplittableRandom(seed);
        double leaderRate = chance.nextBoolean() ? 1.05 : 1 + chance.nextDouble(-0.05, 0.05);
        double holderRate = chance.nextBoolean() ? 0.95 : 1 + chance.nextDouble(-0.05, 0.05);
        LeaseStateMachine ledger = new LeaseStateMachine();
        LeaseManager leader = new LeaseManager(ledger) {
            @Override
            protected double surelyOver(LeaseSettings terms) {
                return clocksIgnored ? terms.lease() : super.surelyOver(terms);
            }
        };
        LeaseHolder holder = new LeaseHolder(HERE);
        ledger.apply(new LeaseCommand.Define(List.of(PROBE)));
        leader.becomeLeader(0);
        List<Late> way = new ArrayList<>();
        double cut = chance.nextDouble(2, 9);
        double expired = Double.NaN;
        double lastTold = 0;
        for (double t = 0; t < 16; t += 0.005) {
            double atLeader = t * leaderRate;
            List<LeaseManager.Step> said = new ArrayList<>(leader.tick(atLeader));
            for (Late l : List.copyOf(way)) {
                if (l.at() <= t) {
                    way.remove(l);
                    l.what().accept(t);
                }
            }
            for (LeaseManager.Step s : said) {
                if (s instanceof LeaseManager.Step.Propose p && p.op() instanceof LeaseCommand.Expire) {
                    expired = Double.isNaN(expired) ? t : expired;
                } else if (s instanceof LeaseManager.Step.Propose p) {
                    leader.commandApplied(atLeader, p.op(), ledger.apply(p.op()));
                }
            }
            if (!Double.isNaN(expired)) {
                break;
            }
            List<LeaseHolder.Step> steps = new ArrayList<>(holder.setSteady(t * holderRate, true));
            for (LeaseHolder.Step s : steps) {
                if (s instanceof LeaseHolder.Step.Send send && t < cut) {
                    way.add(new Late(t + chance.nextDouble(0.3), at -> {
                        for (LeaseManager.Step a : leader.handleRequest(at * leaderRate, send.ask())) {
                            if (a instanceof LeaseManager.Step.Confirm c) {
                                answer(leader.leadershipConfirmed(at * leaderRate, c.round()), way, at, chance, holder,
                                        holderRate);
                            }
                        }
                    }));
                }
            }
            if (holder.token(t * holderRate, "probe").isPresent()) {
                lastTold = t;
            }
        }
        assertThat(expired).as("the leader ends it at last").isNotNaN();
        for (double t = expired; t < expired + 4; t += 0.005) {
            if (holder.token(t * holderRate, "probe").isPresent()) {
                lastTold = t;
            }
        }
        return lastTold - expired;
    }

    private static void answer(List<LeaseManager.Step> steps, List<Late> way, double now, SplittableRandom chance,
            LeaseHolder holder, double holderRate) {
        for (LeaseManager.Step r : steps) {
            if (r instanceof LeaseManager.Step.Reply reply && chance.nextInt(10) > 0) {
                for (int i = chance.nextInt(2); i >= 0; i--) {
                    way.add(new Late(now + chance.nextDouble(0.6),
                            at -> holder.handleResponse(at * holderRate, reply.answer())));
                }
            }
        }
    }

    @Test
    void aLeaseIsOverAtTheHolderBeforeItIsAtTheLeaderHoweverTheirClocksRun() {
        for (long seed = 1; seed <= 400; seed++) {
            assertThat(played(seed, false)).as("seed " + seed).isLessThanOrEqualTo(0);
        }
    }

    @Test
    void withClocksTakenAsEqualItIsNot() {
        int found = 0;
        for (long seed = 1; seed <= 400; seed++) {
            found += played(seed, true) > 0 ? 1 : 0;
        }
        assertThat(found).as("seeds of 400 that show it").isGreaterThan(20);
    }
}
