package topazladder.emulator.hall;

import java.util.ArrayList;
import java.util.List;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;
import topazladder.disruption.LoadReport;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseStateMachine;
import topazladder.lease.MemberIdentity;
import topazladder.rollout.CanaryAnalysis;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutController;
import topazladder.rollout.RolloutPlan;
import topazladder.rollout.RolloutStateMachine;
import topazladder.rollout.RolloutStatus;
import topazladder.rollout.RolloutTarget;
import topazladder.search.Mail;
import topazladder.search.Model;

/**
 * A release of three instances, two of which vote, by a conductor that may be followed by another while it still
 * believes in itself, on the program's own ledgers and conductors; for a search through all that may happen. Views and
 * proposals come in any order, late, twice or not at all.
 */
public final class PlanModel implements Model {
    private static final int MEMBERS = 3;
    private static final String DUTY = "release";

    /**
     * How far the search goes.
     *
     * @param losses messages that may be lost, or come twice
     * @param handOvers times that another member comes to conduct
     * @param words operators' words: a halt, a resume, a way back
     * @param budget of instances out at once
     */
    public record Bounds(int losses, int handOvers, int words, int budget) {
    }

    private sealed interface Way {

        record Shown(int conductor, RolloutStatus view) implements Way {
        }

        record Proposed(int conductor, List<RolloutCommand> ops) implements Way {
        }
    }

    private enum State { SERVES, DOWN, COLD }

    private final Plant plant;
    private final Bounds bounds;
    private final LeaseStateMachine duties = new LeaseStateMachine();
    private final DisruptionStateMachine outs;
    private final RolloutStateMachine releases;
    private final List<RolloutController> conductors = new ArrayList<>();
    private final Mail<Way> way;
    private final State[] states = new State[MEMBERS];
    private final String[] versions = new String[MEMBERS];
    private final String[] next = new String[MEMBERS];
    private final long[] lives = new long[MEMBERS];
    private double now;
    private int words;
    private String broken;

    public PlanModel(Plant plant, Bounds bounds) {
        this.plant = plant;
        this.bounds = bounds;
        way = new Mail<>(bounds.losses(), true);
        outs = Planted.outs(plant);
        releases = Planted.releases(plant, duties, outs, b -> broken = b);
        duties.apply(new LeaseCommand.Define(List.of(new LeaseSettings(DUTY, 2, 9))));
        outs.apply(new DisruptionCommand.SetBudgets(
                List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", bounds.budget(), 1))));
        List<RolloutTarget> places = new ArrayList<>();
        for (int m = 0; m < MEMBERS; m++) {
            states[m] = State.SERVES;
            versions[m] = "A";
            next[m] = "A";
            lives[m] = 1;
            outs.apply(new DisruptionCommand.SetCapacity(subject(m), 1));
            places.add(new RolloutTarget("n" + m, "", m < 2, 0, RolloutTarget.Stage.LEFT, 0));
        }
        releases.apply(
                new RolloutCommand.Start(
                        RolloutCommand.Proposer.operator(0), new RolloutPlan("b", "A", "B",
                                List.of(new RolloutPlan.Wave("",
                                        0, 1, 0)),
                                CanaryAnalysis.Thresholds.DEFAULT, 1e9, 9, 9, false),
                        List.copyOf(places)));
        conducts();
    }

    private static DisruptionTarget subject(int m) {
        return new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, "n" + m, "");
    }

    /** Another one conducts from here on; those before do not know. */
    private void conducts() {
        if (!conductors.isEmpty()) {
            duties.apply(new LeaseCommand.Expire(DUTY, conductors.size()));
        }
        long token = duties.apply(new LeaseCommand.Grant(DUTY, new MemberIdentity("n" + conductors.size() % MEMBERS, 1),
                conductors.size())).fencingToken();
        conductors.add(Planted.conductor(plant, "n9", new RolloutCommand.Proposer(DUTY, token, 0)));
        show(conductors.size() - 1);
    }

    private void show(int conductor) {
        List<RolloutStatus.InstanceStatus> sights = new ArrayList<>();
        for (int m = 0; m < MEMBERS; m++) {
            Health look =
                    states[m] == State.DOWN ? Health.GONE : states[m] == State.COLD ? Health.UNSTEADY : Health.STEADY;
            sights.add(new RolloutStatus.InstanceStatus("n" + m, "", look, lives[m], outs.get(subject(m)), null,
                    states[m] == State.DOWN ? null : new LoadReport(versions[m], 3, 0, 0, 0, 1, 1)));
        }
        way.add(new Way.Shown(conductor, new RolloutStatus(releases.rollout(), List.copyOf(sights))));
    }

    @Override
    public List<String> choices() {
        List<String> all = new ArrayList<>();
        if (releases.rollout().isDone()) {
            return all;
        }
        all.addAll(way.choices());
        for (int m = 0; m < MEMBERS; m++) {
            all.add("n" + m + " goes on");
        }
        if (conductors.size() <= bounds.handOvers()) {
            all.add("another one conducts");
        }
        if (words < bounds.words()) {
            all.add("an operator halts");
            all.add("an operator resumes");
            all.add("an operator turns it");
        }
        return all;
    }

    @Override
    public void take(int choice) {
        // Whoever said what is lost asks again after a while; so nothing hangs for good.
        int before = way.take(choice, this::comes, lost -> show(lost instanceof Way.Shown s ? s.conductor()
                : ((Way.Proposed) lost).conductor()));
        if (before < 0) {
            return;
        }
        int c = choice - before;
        if (c < MEMBERS) {
            goesOn(c);
            return;
        }
        c -= MEMBERS;
        if (conductors.size() <= bounds.handOvers()) {
            if (c == 0) {
                conducts();
                return;
            }
            c--;
        }
        words++;
        RolloutCommand.Proposer by = RolloutCommand.Proposer.operator(0);
        long id = releases.rollout().id();
        apply(c == 0 ? new RolloutCommand.Halt(by, id, "me") : c == 1 ? new RolloutCommand.Resume(by, id)
                : new RolloutCommand.RollBack(by, id));
    }

    private void comes(Way w) {
        if (w instanceof Way.Shown s) {
            now++;
            List<RolloutCommand> ops = conductors.get(s.conductor()).nextCommands(now, 0, s.view());
            // Where it has nothing to say it is shown anew once something has changed, which the search does by itself.
            if (!ops.isEmpty()) {
                way.add(new Way.Proposed(s.conductor(), ops));
            } else if (!way.has(o -> o instanceof Way.Shown x && x.conductor() == s.conductor())) {
                show(s.conductor());
            }
        } else if (w instanceof Way.Proposed p) {
            p.ops().forEach(this::apply);
            show(p.conductor());
        }
    }

    private void apply(RolloutCommand op) {
        releases.apply(op);
        if (releases.rollout().isDone()) {
            for (int m = 0; m < MEMBERS; m++) {
                if (!versions[m].equals(releases.rollout().targetVersion())) {
                    broken = "it is done, and n" + m + " runs " + versions[m];
                }
            }
        }
    }

    /** The next of what the ledger and a process do: leave, its going, its coming back, its being steady. */
    private void goesOn(int m) {
        Disruption out = outs.get(subject(m));
        if (out == null) {
            return;
        }
        switch (out.phase()) {
            case ASKED -> outs.apply(new DisruptionCommand.Grant(subject(m), out.requestId(), lives[m]));
            case GRANTED -> {
                if (outs.apply(new DisruptionCommand.Leaving(subject(m), out.token(), lives[m], "")).isApplied()) {
                    goes(m, releases.versionFor("n" + m, out.requestId()));
                }
            }
            case GONE -> {
                states[m] = State.COLD;
                versions[m] = next[m];
                lives[m]++;
                outs.apply(new DisruptionCommand.Returning(subject(m), lives[m]));
            }
            default -> {
                states[m] = State.SERVES;
                outs.apply(new DisruptionCommand.Steady(subject(m)));
            }
        }
    }

    private void goes(int m, String as) {
        if (as.equals(versions[m])) {
            broken = "n" + m + " goes to be " + as + ", which it is";
        }
        for (int o = 0; o < 2; o++) {
            if (m < 2 && o != m && states[o] == State.DOWN) {
                broken = "the voters n" + m + " and n" + o + " are out together";
            }
        }
        states[m] = State.DOWN;
        next[m] = as.isEmpty() ? versions[m] : as;
    }

    @Override
    public String broken() {
        return broken;
    }

    @Override
    public List<Object> parts() {
        List<Object> all = new ArrayList<>(List.of(duties, outs, releases));
        all.addAll(conductors);
        all.add(way);
        for (int m = 0; m < MEMBERS; m++) {
            all.add(states[m]);
            all.add(versions[m]);
            all.add(next[m]);
            all.add(lives[m]);
        }
        all.add(words);
        return all;
    }
}
