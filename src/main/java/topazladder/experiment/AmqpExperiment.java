package topazladder.experiment;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.LongStream;
import org.apache.commons.statistics.descriptive.Quantile;
import topazladder.delivery.FullJitter;
import topazladder.emulator.DeliveryTrial;
import topazladder.emulator.DeliveryTrial.Result;
import topazladder.emulator.MixedTrial;
import topazladder.rig.AmqpRig;

/** What the consumer of deliveries is measured by. */
public final class AmqpExperiment {
    private static final long FIRST_SEED = 20261201;

    private AmqpExperiment() {}

    public static String schedules(int count) {
        Map<String, Long> sums = new TreeMap<>();
        Map<Long, Result> broken = new ConcurrentSkipListMap<>();
        LongStream.range(1, count + 1).parallel().forEach(seed -> {
            Result r = DeliveryTrial.play(seed, true);
            synchronized (sums) {
                r.counts().forEach((k, v) -> sums.merge(k, (long) v, Long::sum));
            }
            if (!r.breaks().isEmpty()) {
                broken.put(seed, r);
            }
        });
        StringBuilder out = new StringBuilder("## Schedules of faults, in virtual time\n\n" + count + " seeds from 1; "
                + broken.size() + " break a rule. " + sums + "\n\n");
        broken.forEach((seed, r) -> out.append("seed ").append(seed).append(":\n").append(String.join("\n",
                r.schedule()))
                .append('\n').append(String.join("\n", r.breaks())).append("\n\n"));
        return out.toString();
    }

    /** When fifty instances are back after a broker that was gone for a while returned. */
    public static String recovery() {
        StringBuilder out = new StringBuilder("## Back after a broker's return, simulated\n\n50 instances, 200"
                + " seeds; seconds"
                + " from its return to the connect.\n\n| gone for | quartiles | 95% | last |\n| --- | --- | --- |"
                + " --- |\n");
        for (double gone : new double[] {1, 10, 60}) {
            double[] all = new double[50 * 200];
            for (int i = 0; i < all.length; i++) {
                FullJitter jitter = new FullJitter(0.1, 10, new SplittableRandom(FIRST_SEED + i));
                double at = 0;
                while (at < gone) {
                    at += jitter.next();
                }
                all[i] = at - gone;
            }
            double[] q = Quantile.withDefaults().evaluate(all, 0.25, 0.5, 0.75, 0.95);
            out.append(String.format(Locale.ROOT, "| %.0f s | %.2f %.2f %.2f | %.2f | %.2f |%n", gone, q[0], q[1],
                    q[2], q[3],
                    Arrays.stream(all).max().orElse(0)));
        }
        return out.append('\n').toString();
    }

    public static String mixed(int seeds) {
        double[][] all = LongStream.range(0, seeds).parallel().mapToObj(i -> MixedTrial.play(FIRST_SEED + i))
                .toArray(double[][]::new);
        Pairs pairs = new Pairs(column(all, 0), column(all, 1));
        return "## Callers and deliveries at 150%, emulated\n\n" + seeds
                + " pairs: half of the tickets by a broker, beside the"
                + " same tickets by callers alone. Share of the payoff honoured: of callers in the soft limit, of"
                + " deliveries while the load of"
                + " 60 s lasts.\n\n| payoff honoured | alone | mixed |"
                + " difference | quartiles | luck |\n| --- | --- | --- | --- | --- | --- |\n| all | " + pairs.row()
                + " |\n| callers' half | " + new Pairs(column(all, 2), column(all, 3)).row() + " |\n| the other half | "
                + new Pairs(column(all, 4), column(all, 5)).row() + " |\n\n";
    }

    private static double[] column(double[][] all, int i) {
        return Arrays.stream(all).mapToDouble(r -> r[i]).toArray();
    }

    public static String cost(int count) throws Exception {
        return "## Cost in a real process, on loopback\n\nRuns that end at once; serial collection, 40 MB heap,"
                + " quick compiler.\n\n"
                + "| way in | tickets | a second | a second of a core | bytes allocated each | resident MB by"
                + " quarters |\n"
                + "| --- | --- | --- | --- | --- | --- |\n" + AmqpRig.callers(count).row("callers")
                + AmqpRig.deliveries(count).row("deliveries") + '\n';
    }
}
