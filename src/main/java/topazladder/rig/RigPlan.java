package topazladder.rig;

import java.util.List;
import topazladder.emulator.hall.Supervisor;

/**
 * How a cluster of real processes is set up. Made by {@link #of} and changed by the {@code with} methods.
 *
 * @param count processes
 * @param voters how many of them vote, the first ones
 * @param clocks how fast each process's clock runs
 * @param hall whether it is a cluster; without, the processes know nothing of each other
 * @param duties that touch the ledgers
 * @param moreHall lines more in the part for the cluster, the same for all
 * @param moreSettings lines more beside it
 * @param load of each instance's cores by callers, 0 for none
 * @param unloaded processes without callers, the first ones
 * @param scale of the callers' times beside the operators' brief
 * @param before words before the command of each process
 * @param supervisor that starts again what went as agreed, in the version that was asked for; null for none
 * @param budget of instances out at once
 * @param pace of leases, heartbeats and probes
 * @param relayed whether links go through relays; straight ones can't be broken, and cost the rig nothing
 * @param apart processes that hear nobody and are heard by nobody until {@link HallRig#join}; for relayed links
 */
public record RigPlan(int count, int voters, List<Double> clocks, long seed, boolean hall, int duties, String moreHall,
        String moreSettings, double load, int unloaded, double scale, List<String> before,
        Supervisor supervisor, int budget, Pace pace, boolean relayed, List<Integer> apart) {
    private static final int DUTIES = 3;
    private static final double SCALE = 0.25;

    /**
     * How often a cluster speaks, in seconds.
     *
     * @param lease of each duty
     * @param heartbeat of the group's leader
     * @param period between two members asked whether they are there
     * @param touch between two effects of a duty
     */
    public record Pace(double lease, double heartbeat, double period, double touch) {
        /** For faults that are played one after another. */
        public static final Pace QUICK = new Pace(1.5, 0.15, 0.3, 0.02);
        /** For many processes on one machine, which have a small part of a core each. */
        public static final Pace CROWDED = new Pace(4, 0.4, 1, 0.1);
        /** What an installation has that sets nothing. */
        public static final Pace USUAL = new Pace(10, 0.5, 1, 1);
    }

    public static RigPlan of(int count, int voters, List<Double> clocks, long seed) {
        return new RigPlan(count, voters, clocks, seed, true, DUTIES, "", "", 0, 0, SCALE, List.of(), null, 0,
                Pace.QUICK, true, List.of());
    }

    public RigPlan withLoad(double of, double atScale, boolean asHall, List<String> prefix) {
        return new RigPlan(count, voters, clocks, seed, asHall, duties, moreHall, moreSettings, of, unloaded, atScale,
                prefix, supervisor, budget, pace, relayed, apart);
    }

    /** Without callers at the first so many. */
    public RigPlan withUnloaded(int first) {
        return new RigPlan(count, voters, clocks, seed, hall, duties, moreHall, moreSettings, load, first, scale,
                before,
                supervisor, budget, pace, relayed, apart);
    }

    public RigPlan with(int touching, String hallLines, String settingsLines) {
        return new RigPlan(count, voters, clocks, seed, hall, touching, hallLines, settingsLines, load, unloaded, scale,
                before, supervisor, budget, pace, relayed, apart);
    }

    /** One whose instances are released: so many may be out, and somebody starts them again. */
    public RigPlan released(Supervisor by, int mostOut) {
        return new RigPlan(count, voters, clocks, seed, hall, duties, moreHall, moreSettings, load, unloaded, scale,
                before, by, mostOut, pace, relayed, apart);
    }

    /** At that pace, through relays. */
    public RigPlan paced(Pace at) {
        return new RigPlan(count, voters, clocks, seed, hall, duties, moreHall, moreSettings, load, unloaded, scale,
                before, supervisor, budget, at, relayed, apart);
    }

    /** At that pace, over straight links: nothing is broken in it. */
    public RigPlan straight(Pace at) {
        return new RigPlan(count, voters, clocks, seed, hall, duties, moreHall, moreSettings, load, unloaded, scale,
                before, supervisor, budget, at, false, apart);
    }

    /** With these cut off from all others from their start on. */
    public RigPlan withApart(List<Integer> processes) {
        return new RigPlan(count, voters, clocks, seed, hall, duties, moreHall, moreSettings, load, unloaded, scale,
                before, supervisor, budget, pace, relayed, List.copyOf(processes));
    }
}
