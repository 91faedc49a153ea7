package topazladder.emulator.hall;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.DisruptionController.Observation;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;
import topazladder.search.Mail;
import topazladder.search.Model;

/**
 * Three instances that all would go out, a budget of one, and two voters that may lead, on the program's own ledger and
 * decisions; for a search through all that may happen. What a leader sees of the instances is as old as the search
 * likes it to be.
 */
public final class PermitModel implements Model {
    private static final int MEMBERS = 3;
    private static final int BUDGET = 1;
    private static final double LOST_AFTER = 1.5;

    /**
     * How far the search goes.
     *
     * @param steps of a second
     * @param losses messages that may be lost, or come twice
     * @param crashes instances that may end by themselves
     * @param elections times that the other voter comes to lead
     */
    public record Bounds(int steps, int losses, int crashes, int elections) {
    }

    private sealed interface Way {

        record MayGo(int to, long token) implements Way {
        }

        record Going(int from, long life, long token, int to) implements Way {
        }

        record Go(int to, long life, long token) implements Way {
        }
    }

    private enum State { WARM, COLD, DOWN }

    private final class Leader {
        private final DisruptionStateMachine ledger = Planted.outs(plant);
        private final DisruptionController permits = Planted.permits(plant, ledger, LOST_AFTER);
        private int applied;
        private boolean leads;

        DisruptionStateMachine.Outcome apply() {
            DisruptionStateMachine.Outcome last = null;
            while (applied < log.size()) {
                last = ledger.apply(log.get(applied++));
            }
            return last;
        }
    }

    private final Plant plant;
    private final Bounds bounds;
    private final Leader[] leaders = new Leader[2];
    private final State[] states = new State[MEMBERS];
    private final long[] lives = new long[MEMBERS];
    private final boolean[] agreed = new boolean[MEMBERS]; // out by agreement, and not warm again
    private final List<DisruptionCommand> log = new ArrayList<>();
    private final Mail<Way> way;
    private int current;
    private double now;
    private int steps;
    private int crashes;
    private int elections;
    private String broken;

    public PermitModel(Plant plant, Bounds bounds) {
        this.plant = plant;
        this.bounds = bounds;
        way = new Mail<>(bounds.losses(), true);
        leaders[0] = new Leader();
        leaders[1] = new Leader();
        log.add(new DisruptionCommand.SetBudgets(
                List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", BUDGET, 1))));
        for (int m = 0; m < MEMBERS; m++) {
            states[m] = State.WARM;
            lives[m] = 1;
            log.add(new DisruptionCommand.SetCapacity(subject(m), 1));
            log.add(new DisruptionCommand.Request(subject(m), Disruption.Reason.OPERATOR, "operator", "me"));
        }
        lead(0);
    }

    private static DisruptionTarget subject(int m) {
        return new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, "n" + m, "");
    }

    private void lead(int l) {
        current = l;
        leaders[l].leads = true;
        leaders[l].apply();
        leaders[l].permits.becomeLeader(now, 0.5);
        see(l);
    }

    private void see(int l) {
        Map<DisruptionTarget, Observation> looks = new HashMap<>();
        for (int m = 0; m < MEMBERS; m++) {
            looks.put(subject(m), new Observation(states[m] == State.DOWN ? Health.GONE : states[m] == State.COLD
                    ? Health.UNSTEADY : Health.STEADY, lives[m]));
        }
        leaders[l].permits.membersObserved(now, looks);
    }

    @Override
    public List<String> choices() {
        List<String> all = way.choices();
        if (steps < bounds.steps()) {
            all.add("time goes on");
        }
        for (int m = 0; m < MEMBERS; m++) {
            all.add("n" + m + (states[m] == State.WARM ? crashes < bounds.crashes() ? " ends" : " -"
                    : states[m] == State.DOWN ? " starts" : " is warm"));
        }
        for (int l = 0; l < 2; l++) {
            all.add("voter " + l + " looks round");
        }
        if (elections < bounds.elections()) {
            all.add("the other voter leads");
        }
        return all;
    }

    @Override
    public void take(int choice) {
        int before = way.take(choice, this::comes, lost -> {});
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
        if (c < MEMBERS) {
            turn(c);
            return;
        }
        c -= MEMBERS;
        if (c < 2) {
            see(c);
            return;
        }
        elections++;
        lead(1 - current);
    }

    /** The next of what a process does by itself. */
    private void turn(int m) {
        if (states[m] == State.DOWN) {
            states[m] = State.COLD;
            lives[m]++;
        } else if (states[m] == State.COLD) {
            states[m] = State.WARM;
            agreed[m] = false;
        } else if (crashes < bounds.crashes()) {
            crashes++;
            states[m] = State.DOWN;
        }
    }

    private void pass() {
        steps++;
        now++;
        for (int l = 0; l < 2; l++) {
            Leader leader = leaders[l];
            if (leader.leads) {
                for (DisruptionCommand op : leader.permits.tick(now)) {
                    if (l == current) {
                        log.add(op);
                        leader.apply();
                    }
                    leader.permits.commandCompleted(op);
                }
                for (Disruption o : leader.ledger.disruptions()) {
                    Way word = new Way.MayGo(Integer.parseInt(o.target().name().substring(1)), o.token());
                    if (o.phase() == Disruption.Phase.GRANTED && !way.has(word::equals)) {
                        way.add(word);
                    }
                }
            }
        }
    }

    private void comes(Way w) {
        if (w instanceof Way.MayGo m && states[m.to()] != State.DOWN) {
            if (plant == Plant.GOES_WITHOUT_A_WORD) {
                goes(m.to());
            } else {
                way.add(new Way.Going(m.to(), lives[m.to()], m.token(), current));
            }
        } else if (w instanceof Way.Going g && g.to() == current) {
            log.add(new DisruptionCommand.Leaving(subject(g.from()), g.token(), g.life(), ""));
            if (leaders[current].apply().isApplied()) {
                way.add(new Way.Go(g.from(), g.life(), g.token()));
            }
        } else if (w instanceof Way.Go g && states[g.to()] != State.DOWN && lives[g.to()] == g.life()) {
            goes(g.to());
        }
    }

    private void goes(int m) {
        int others = 0;
        for (int o = 0; o < MEMBERS; o++) {
            others += o != m && agreed[o] ? 1 : 0;
        }
        if (others >= BUDGET) {
            broken = "n" + m + " goes beside " + others + " that are out, of " + BUDGET;
        }
        agreed[m] = true;
        states[m] = State.DOWN;
    }

    @Override
    public String broken() {
        return broken;
    }

    @Override
    public List<Object> parts() {
        List<Object> all = new ArrayList<>();
        for (Leader l : leaders) {
            all.add(l.ledger);
            all.add(l.permits);
            all.add(l.applied);
            all.add(l.leads);
        }
        for (int m = 0; m < MEMBERS; m++) {
            all.add(states[m]);
            all.add(lives[m]);
            all.add(agreed[m]);
        }
        all.add(way);
        all.add(current);
        all.add(now);
        all.add(crashes);
        all.add(elections);
        return all;
    }
}
