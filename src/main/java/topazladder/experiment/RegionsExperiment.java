package topazladder.experiment;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.function.IntPredicate;
import topazladder.cluster.ClusterMessage;
import topazladder.emulator.hall.HallWorld;
import topazladder.emulator.hall.Plant;
import topazladder.faults.Fault;
import topazladder.faults.Links;
import topazladder.faults.Schedule;
import topazladder.membership.MemberStatus;
import topazladder.membership.Membership;
import topazladder.net.codec.HallMessages;
import topazladder.net.codec.PeerFrames;

/**
 * What a large cluster says and knows in virtual time while some of it dies and while a region is cut off from the
 * others and comes back. Bytes are those of messages and their frames, without handshakes: the simulation has no
 * connections.
 */
public final class RegionsExperiment {
    private static final double LEASE = 10;
    private static final double HEARTBEAT = 0.5;
    private static final int LEASES = 50;
    private static final double SETTLED = 120;
    private static final double MINUTE = 60;
    private static final double MOST_TO_KNOW = 400;
    /** Of the sides that faults tell processes apart by: a quarter, with none of the five first voters on it. */
    private static final int FIRST_SIDE = 5;
    private static final int SIDES_APART = 8;

    private final int members;
    private final int voters;
    private final PrintStream progress;
    private final StringBuilder table = new StringBuilder();
    private boolean counting;
    private long messages;
    private long bytes;

    public RegionsExperiment(int members, int voters, PrintStream progress) {
        this.members = members;
        this.voters = voters;
        this.progress = progress;
    }

    private HallWorld world(long seed) {
        Schedule schedule = new Schedule(seed, members, voters, Collections.nCopies(members, 1.0), List.of(), 0);
        HallWorld.Setup setup =
                new HallWorld.Setup(members, voters, LEASES, LEASE, HEARTBEAT, Membership.Settings.DEFAULTS);
        return new HallWorld(schedule, setup, Plant.NONE, this::count).open();
    }

    private ClusterMessage count(ClusterMessage said) {
        if (counting) {
            messages++;
            bytes += PeerFrames.sizeOnWire(HallMessages.bytes(said).length);
        }
        return said;
    }

    /** Crashes of so many members at once: seconds until the others know, and who is wrongly suspected. */
    public void crashes(List<Integer> sizes, long seed) {
        table.append(
                "| ended at once | half knew, s | all knew, s | wrongly not alive at worst | messages a second and ")
                .append("member | bytes a second and member |\n| --- | --- | --- | --- | --- | --- |\n");
        for (int n : sizes) {
            progress.println("crash of " + n);
            HallWorld world = world(seed);
            world.time().runUntil(SETTLED);
            IntPredicate gone = i -> i >= members - n;
            for (int i = members - n; i < members; i++) {
                world.node(i).kill(1e9, false);
            }
            Seen seen = untilSeen(world, gone, MOST_TO_KNOW);
            table.append(String.format(Locale.ROOT, "| %d | %.0f | %.0f | %d | %.2f | %.0f |%n", n, seen.half, seen.all,
                    seen.wrong, seen.messages, seen.bytes));
        }
        table.append('\n');
    }

    private record Seen(double half, double all, long wrong, double messages, double bytes) {
    }

    /** Until those that are there hold all the others, and only them, for dead. */
    private Seen untilSeen(HallWorld world, IntPredicate gone, double most) {
        double begin = world.time().getAsDouble();
        startCounting();
        double half = Double.NaN;
        double all = Double.NaN;
        long worst = 0;
        while (Double.isNaN(all) && world.time().getAsDouble() - begin < most) {
            world.time().runUntil(world.time().getAsDouble() + 1);
            long know = 0;
            long there = 0;
            long wrong = 0;
            for (int i = 0; i < members; i++) {
                if (!gone.test(i)) {
                    there++;
                    long[] counted = counted(world, i, gone);
                    know += counted[0] == 0 ? 1 : 0;
                    wrong += counted[1];
                }
            }
            worst = Math.max(worst, wrong);
            double now = world.time().getAsDouble() - begin;
            half = Double.isNaN(half) && 2 * know >= there ? now : half;
            all = know == there ? now : all;
        }
        double seconds = world.time().getAsDouble() - begin;
        counting = false;
        return new Seen(half, all, worst, messages / seconds / members, bytes / seconds / members);
    }

    /** Entries of one member's table: dead ones that it takes to be there, and live ones that it does not. */
    private long[] counted(HallWorld world, int member, IntPredicate gone) {
        long unknown = 0;
        long wrong = 0;
        for (MemberStatus s : world.node(member).member().membership().otherMembers()) {
            boolean is = gone.test(Integer.parseInt(s.name().substring(1)));
            unknown += is && s.isPresent() ? 1 : 0;
            wrong += !is && s.state() != MemberStatus.State.ALIVE ? 1 : 0;
        }
        return new long[] {unknown, wrong};
    }

    private void startCounting() {
        counting = true;
        messages = 0;
        bytes = 0;
    }

    /** A quarter of the members is cut off for so long, and comes back. */
    public void regionApart(double seconds, long seed) {
        HallWorld world = world(seed);
        world.time().runUntil(SETTLED);
        IntPredicate apart = i -> i % Links.SIDES >= FIRST_SIDE && i % Links.SIDES < FIRST_SIDE + SIDES_APART;
        table.append("| phase | seconds | messages a second and member | bytes a second and member | of ")
                .append(LEASES)
                .append(" leases held by the majority | by the region |\n| --- | --- | --- | --- | --- | --- |\n");
        phase(world, "an ordinary minute", MINUTE, apart);
        int bits = ((1 << SIDES_APART) - 1) << FIRST_SIDE;
        world.strike(new Fault(world.time().getAsDouble(), Fault.Kind.HALVES, -1, bits, seconds, 0));
        double cutAt = world.time().getAsDouble();
        phase(world, "first minute apart", MINUTE, apart);
        Seen known = untilSeen(world, apart, MOST_TO_KNOW);
        double knownAfter = known.all + MINUTE;
        phase(world, "a minute apart, later", MINUTE, apart);
        world.time().runUntil(cutAt + seconds);
        phase(world, "first minute back", MINUTE, apart);
        Seen back = untilSeen(world, i -> false, MOST_TO_KNOW);
        phase(world, "a minute back, later", MINUTE, apart);
        table.append(String.format(Locale.ROOT, "%nAll in the majority knew after %.0f s at the most; %d entries were "
                + "wrong at the worst. Back, all knew all to be there after %.0f s at the most.%n%n", knownAfter,
                known.wrong, back.all + MINUTE));
    }

    private void phase(HallWorld world, String name, double seconds, IntPredicate apart) {
        progress.println(name + " from " + world.time().getAsDouble());
        startCounting();
        world.time().runUntil(world.time().getAsDouble() + seconds);
        counting = false;
        int[] held = new int[2];
        for (int i = 0; i < members; i++) {
            int region = apart.test(i) ? 1 : 0;
            for (int d = 0; d < LEASES; d++) {
                held[region] += world.node(i).member().fencingToken("duty-" + d).isPresent() ? 1 : 0;
            }
        }
        table.append(String.format(Locale.ROOT, "| %s | %.0f | %.2f | %.0f | %d | %d |%n", name, seconds,
                messages / seconds / members, bytes / seconds / members, held[0], held[1]));
    }

    /** Of the sizes named, those that fit the cluster. */
    public static List<Integer> fitting(List<Integer> sizes, int members) {
        List<Integer> all = new ArrayList<>(sizes);
        all.removeIf(n -> n >= members / 2);
        return all;
    }

    public String table() {
        return table.toString();
    }
}
