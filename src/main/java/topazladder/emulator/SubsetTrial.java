package topazladder.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import topazladder.config.SettingsReader;
import topazladder.request.RequestClass;
import topazladder.service.IncomingRequest;
import topazladder.service.Response;

/**
 * How much the posted level is worth where each caller has many instances to choose from. Callers send to an instance
 * drawn anew for each request from a subset of their own, heed the level that this instance told them last if they
 * heard it within the time that levels are heeded, and try nobody else. Instances are the program's own objects in
 * virtual time. Callers, instances and requests stand in the proportion of the fleet to design for: 16 callers an
 * instance with 5.83 requests a second each.
 */
public final class SubsetTrial {
    private static final int CALLERS_AN_INSTANCE = 16;
    private static final double REQUESTS_A_CALLER = 140_000.0 / 24_000;
    private static final double CORES = 6;
    private static final double HEEDED = 1;
    private static final double WARM = 20;
    private static final double MEASURED = 30;
    /** Of the mean work of a request; reading one takes it whatever becomes of the request. */
    private static final double READING_SHARE = 0.05;
    private static final double NEVER = 1e-12;
    private static final double FOOTPRINT_KB = 10;
    private static final double TENTH = 0.1;

    /** Three classes of different worth, so that the cut has something to choose from. */
    private static final String SETTINGS = """
        Classes.count=3
        Classes.0.Name=cheap
        Classes.0.Idempotency=safe
        Classes.0.TargetNs=600000000
        Classes.0.DeadlineNs=1500000000
        Classes.0.Importance=1
        Classes.1.Name=usual
        Classes.1.Idempotency=safe
        Classes.1.TargetNs=600000000
        Classes.1.DeadlineNs=1500000000
        Classes.1.Importance=2
        Classes.2.Name=dear
        Classes.2.Idempotency=safe
        Classes.2.TargetNs=600000000
        Classes.2.DeadlineNs=1500000000
        Classes.2.Importance=10
        Extra.Cores=6
        Extra.HeededNs=1000000000
        """;
    private static final double[] SHARES = {0.5, 0.35, 0.15};

    /**
     * What callers met.
     *
     * @param heard part of the requests wanted for which a level was heard within the heeded time
     * @param age median seconds since the level of the instance chosen was heard, of those ever heard
     * @param heldBack part of the requests that callers did not send, as the level told them
     * @param inVain part of the requests sent that the instance turned away
     * @param earned part of the worth wanted that was served in its time
     * @param spentReading part of all cores' time that went into reading what was turned away
     */
    public record Outcome(double heard, double age, double heldBack, double inVain, double earned,
            double spentReading) {
    }

    private final Timeline time = new Timeline(0);
    private final List<Branch> instances = new ArrayList<>();
    private final List<Traffic.Kind> kinds;
    private final double run;
    private final Tally tally = new Tally();

    private static final class Tally {
        private long wanted;
        private long heard;
        private long heldBack;
        private long sent;
        private long turnedAway;
        private double worth;
        private double earned;
        private final List<Double> ages = new ArrayList<>();
    }

    /** One caller's subset, with the level that each instance of it told last. */
    private final class Caller {
        private final int[] subset;
        private final double[] level;
        private final double[] heardAt;
        private final SplittableRandom chance;
        private final Traffic traffic;
        private final String name;
        private long refs;

        Caller(int number, int[] subset, SplittableRandom chance) {
            this.subset = subset;
            this.chance = chance;
            name = "c" + number + "r";
            level = new double[subset.length];
            heardAt = new double[subset.length];
            java.util.Arrays.fill(heardAt, Double.NEGATIVE_INFINITY);
            traffic = new Traffic(chance.split(), kinds);
        }

        void begin() {
            time.schedule(traffic.gap(REQUESTS_A_CALLER), this::next);
        }

        private void next() {
            time.schedule(traffic.gap(REQUESTS_A_CALLER), this::next);
            Traffic.Wanted w = traffic.next();
            int which = chance.nextInt(subset.length);
            double now = time.getAsDouble();
            double age = now - heardAt[which];
            boolean counts = now >= WARM && now < WARM + MEASURED;
            boolean held = age <= HEEDED && w.rank() < level[which];
            if (counts) {
                tally.wanted++;
                tally.worth += w.kind().requestClass().priorityWeight();
                tally.heard += age <= HEEDED ? 1 : 0;
                tally.heldBack += held ? 1 : 0;
                if (age < Double.POSITIVE_INFINITY && chance.nextDouble() < TENTH) {
                    tally.ages.add(age);
                }
            }
            if (!held) {
                send(which, w, now, counts);
            }
        }

        private void send(int which, Traffic.Wanted w, double now, boolean counts) {
            tally.sent += counts ? 1 : 0;
            RequestClass requestClass = w.kind().requestClass();
            instances.get(subset[which]).take(new IncomingRequest(name + refs++, requestClass.name(), null, now, false,
                    FOOTPRINT_KB, w.rank(), null, w.work().body()), answer -> {
                        level[which] = answer.admissionLevel().value();
                        heardAt[which] = time.getAsDouble();
                        if (counts) {
                            note(answer, requestClass, time.getAsDouble() - now);
                        }
                    });
        }

        private void note(Response answer, RequestClass requestClass, double took) {
            if (answer.status() == Response.Status.REJECTED) {
                tally.turnedAway++;
            } else if (answer.status() == Response.Status.SERVED && took <= requestClass.latencyObjectiveSeconds()) {
                tally.earned += requestClass.priorityWeight();
            }
        }
    }

    /**
     * @param fleet instances
     * @param subset of them that each caller uses
     * @param load of all cores by what callers want
     */
    private SubsetTrial(int fleet, int subset, double load, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        run = load * CORES / (CALLERS_AN_INSTANCE * REQUESTS_A_CALLER);
        SettingsReader terms = SettingsReader.ofLines(SETTINGS + Brief.MACHINE);
        kinds = new ArrayList<>();
        for (int i = 0; i < SHARES.length; i++) {
            kinds.add(new Traffic.Kind(terms.requestClasses().get(i), SHARES[i], run, 0, 0));
        }
        Below none = new Below(time, time, 1);
        for (int i = 0; i < fleet; i++) {
            instances.add(new Branch("i" + i + "-", time, none, new Branch.Plan(terms, new Runtime.Shape(CORES, 1, 1, 1,
                    2), false, kinds, NEVER, 1, 0, READING_SHARE * run, 0, WARM + MEASURED, MEASURED,
                    chance.nextLong()), List.of()));
        }
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < fleet; i++) {
            all.add(i);
        }
        for (int c = 0; c < fleet * CALLERS_AN_INSTANCE; c++) {
            Collections.shuffle(all, new Random(chance.nextLong()));
            new Caller(c, all.stream().limit(subset).mapToInt(Integer::intValue).toArray(), chance.split()).begin();
        }
    }

    private Outcome play() {
        time.runUntil(WARM + MEASURED + 2);
        List<Double> ages = tally.ages.stream().sorted().toList();
        double cores = instances.size() * CORES * MEASURED;
        return new Outcome((double) tally.heard / tally.wanted, ages.isEmpty() ? Double.NaN
                : ages.get(ages.size() / 2), (double) tally.heldBack / tally.wanted,
                (double) tally.turnedAway / tally.sent, tally.earned / tally.worth,
                tally.turnedAway * READING_SHARE * run / cores);
    }

    public static Outcome play(int fleet, int subset, double load, long seed) {
        return new SubsetTrial(fleet, subset, load, seed).play();
    }
}
