package topazladder.emulator.hall;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseHolder;
import topazladder.lease.LeaseManager;
import topazladder.lease.LeaseRequest;
import topazladder.lease.LeaseResponse;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseStateMachine;
import topazladder.lease.MemberIdentity;
import topazladder.search.Mail;
import topazladder.search.Model;

/**
 * One duty between two members and two voters that may lead, on the program's own state machines; for a search through
 * all that may happen. What the library promises is taken as given: proposals of whoever leads come into the one log in
 * their order, those of one that was deposed do not, and a majority confirms only what led when it was asked.
 */
public final class LeaseModel implements Model {
    private static final String DUTY = "d";
    private static final double LEASE = 2;
    /** Seconds of true time in one step. */
    private static final double STEP = 0.5;
    private static final int MEMBERS = 2;
    private static final int LEADERS = 2;

    /**
     * How far the search goes.
     *
     * @param steps of time
     * @param losses messages that may be lost
     * @param crashes members that may end and come back under another life
     * @param elections times that the other voter comes to lead
     */
    public record Bounds(int steps, int losses, int crashes, int elections) {
    }

    private sealed interface Way {

        record Asks(int to, LeaseRequest ask) implements Way {
        }

        record Confirmed(int leader, long round, boolean led) implements Way {
        }

        record Answers(int to, MemberIdentity life, LeaseResponse answer, int from) implements Way {
        }

        /** A member's own duty has come to its end. */
        record Stopped(int member, MemberIdentity life, long token) implements Way {
        }
    }

    private final class Leader {
        private final LeaseStateMachine ledger = Planted.ledger(plant);
        private final LeaseManager leaseManager = Planted.leaseManager(plant, ledger);
        private int applied;

        void apply(double at) {
            while (applied < log.size()) {
                LeaseCommand op = log.get(applied++);
                carryOut(this, leaseManager.commandApplied(at, op, ledger.apply(op)));
            }
        }
    }

    private final Plant plant;
    private final Bounds bounds;
    private final double[] memberRates;
    private final double[] leaderRates;
    private final Leader[] leaders = new Leader[LEADERS];
    private final LeaseHolder[] holders = new LeaseHolder[MEMBERS];
    private final int[] guides = new int[MEMBERS];
    private final int[] lives = new int[MEMBERS];
    private final List<LeaseCommand> log = new ArrayList<>();
    private final Mail<Way> way;
    private int current;
    private double now;
    private int steps;
    private int crashes;
    private int elections;
    private long latest;
    private String broken;

    /** @param fast which of the clocks run fast; the others run slow, by as much as they may */
    public LeaseModel(Plant plant, Bounds bounds, int fast) {
        this.plant = plant;
        this.bounds = bounds;
        way = new Mail<>(bounds.losses(), false);
        memberRates = new double[] {rate(fast, 0), rate(fast, 1)};
        leaderRates = new double[] {rate(fast, 2), rate(fast, 3)};
        for (int l = 0; l < LEADERS; l++) {
            leaders[l] = new Leader();
        }
        for (int m = 0; m < MEMBERS; m++) {
            holders[m] = Planted.holder(plant, new MemberIdentity("n" + m, lives[m]));
        }
        log.add(new LeaseCommand.Define(List.of(new LeaseSettings(DUTY, LEASE, 99))));
        leaders[0].apply(0);
        leaders[0].leaseManager.becomeLeader(0);
        for (int m = 0; m < MEMBERS; m++) {
            step(m, holders[m].setEligible(0, true));
        }
    }

    private static double rate(int fast, int which) {
        return (fast >> which & 1) == 1 ? 1 + LeaseSettings.MAX_CLOCK_DRIFT : 1 - LeaseSettings.MAX_CLOCK_DRIFT;
    }

    private double at(int member) {
        return now * memberRates[member];
    }

    private double led(int leader) {
        return now * leaderRates[leader];
    }

    private int of(Leader l) {
        return l == leaders[0] ? 0 : 1;
    }

    @Override
    public List<String> choices() {
        List<String> all = way.choices();
        if (steps < bounds.steps()) {
            all.add("time goes on");
        }
        if (crashes < bounds.crashes()) {
            for (int m = 0; m < MEMBERS; m++) {
                all.add("n" + m + " ends and comes back");
            }
        }
        if (elections < bounds.elections()) {
            all.add("the other voter leads");
        }
        return all;
    }

    @Override
    public void take(int choice) {
        int before = way.take(choice, w -> {
            comes(w);
            look();
        }, lost -> {});
        if (before < 0) {
            return;
        }
        int c = choice - before;
        if (steps < bounds.steps()) {
            if (c == 0) {
                pass();
                return;
            }
            c--;
        }
        if (crashes < bounds.crashes()) {
            if (c < MEMBERS) {
                crashes++;
                lives[c]++;
                holders[c] = Planted.holder(plant, new MemberIdentity("n" + c, lives[c]));
                step(c, holders[c].setEligible(at(c), true));
                return;
            }
        }
        elections++;
        // The one that led does not know; what it proposes from here on comes to nothing.
        current = 1 - current;
        leaders[current].apply(led(current));
        leaders[current].leaseManager.becomeLeader(led(current));
    }

    private void pass() {
        steps++;
        now += STEP;
        look();
        for (int l = 0; l < LEADERS; l++) {
            if (leaders[l].leaseManager.isLeader()) {
                carryOut(leaders[l], leaders[l].leaseManager.tick(led(l)));
            }
        }
        for (int m = 0; m < MEMBERS; m++) {
            step(m, holders[m].tick(at(m)));
        }
        look();
    }

    private void comes(Way w) {
        if (w instanceof Way.Asks a) {
            carryOut(leaders[a.to()], leaders[a.to()].leaseManager.handleRequest(led(a.to()), a.ask()));
        } else if (w instanceof Way.Confirmed c) {
            Leader l = leaders[c.leader()];
            carryOut(l, c.led() ? l.leaseManager.leadershipConfirmed(led(c.leader()), c.round())
                    : l.leaseManager.leadershipUnconfirmed(c.round()));
        } else if (w instanceof Way.Answers a) {
            if (holders[a.to()].identity().equals(a.life())) {
                guides[a.to()] = a.from();
                step(a.to(), holders[a.to()].handleResponse(at(a.to()), a.answer()));
            }
        } else if (w instanceof Way.Stopped s && holders[s.member()].identity().equals(s.life())) {
            step(s.member(), holders[s.member()].taskStopped(at(s.member()), DUTY, s.token(), null));
        }
    }

    private void carryOut(Leader l, List<LeaseManager.Step> all) {
        for (LeaseManager.Step s : all) {
            if (s instanceof LeaseManager.Step.Propose p) {
                if (of(l) == current) {
                    log.add(p.command());
                    l.apply(led(of(l)));
                } else {
                    l.leaseManager.commandFailed(p.command());
                }
            } else if (s instanceof LeaseManager.Step.ConfirmLeadership c) {
                way.add(new Way.Confirmed(of(l), c.round(), of(l) == current));
            } else if (s instanceof LeaseManager.Step.Reply r) {
                int to = r.member().name().equals("n0") ? 0 : 1;
                way.add(new Way.Answers(to, r.member(), r.response(), of(l)));
            }
            // A wake-up is worth a moment only: the ask comes by itself.
        }
    }

    private void step(int m, List<LeaseHolder.Step> all) {
        for (LeaseHolder.Step s : all) {
            if (s instanceof LeaseHolder.Step.Send send) {
                guides[m] = send.otherVoter() ? 1 - guides[m] : guides[m];
                way.add(new Way.Asks(guides[m], send.request()));
            } else if (s instanceof LeaseHolder.Step.Stop stop) {
                way.add(new Way.Stopped(m, holders[m].identity(), stop.fencingToken()));
            }
        }
    }

    /** Whoever may go on now, by the true time: one at most, and none behind a later one. */
    private void look() {
        int who = -1;
        for (int m = 0; m < MEMBERS; m++) {
            OptionalLong token = holders[m].fencingToken(at(m), DUTY);
            if (token.isPresent()) {
                if (who >= 0) {
                    broken = "n0 and n1 may both go on, " + now + " s";
                } else if (token.getAsLong() < latest) {
                    broken = "n" + m + " may go on under " + token.getAsLong() + " behind " + latest;
                }
                who = m;
                latest = Math.max(latest, token.getAsLong());
            }
        }
    }

    @Override
    public String broken() {
        return broken;
    }

    @Override
    public List<Object> parts() {
        List<Object> all = new ArrayList<>();
        for (int l = 0; l < LEADERS; l++) {
            all.add(leaders[l].leaseManager);
            all.add(leaders[l].ledger);
            all.add(leaders[l].applied);
        }
        for (int m = 0; m < MEMBERS; m++) {
            all.add(holders[m]);
            all.add(guides[m]);
        }
        all.add(List.copyOf(log));
        all.add(way);
        all.add(current);
        all.add(now);
        all.add(crashes);
        all.add(elections);
        all.add(latest);
        return all;
    }
}
