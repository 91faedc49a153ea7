package topazladder.cli;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import topazladder.emulator.SubsetTrial;

/** What the posted level is worth by the number of instances that each caller uses, in virtual time. */
@Command(name = "subsets", mixinStandardHelpOptions = true,
        description = "How old the posted level is, and what is sent in vain, by instances that each caller uses.")
final class SubsetsCommand implements Callable<Integer> {
    @Mixin
    private TrialOptions trial;
    @Option(names = "--instances", defaultValue = "100", description = "Of the fleet (${DEFAULT-VALUE}).")
    private int instances;
    @Option(names = "--uses", split = ",", defaultValue = "1,2,4,8,16,32,100",
            description = "Instances that each caller chooses from (${DEFAULT-VALUE}).")
    private List<Integer> uses;
    @Option(names = "--loads", split = ",", defaultValue = "0.8,1.5",
            description = "Of all cores by what callers want (${DEFAULT-VALUE}).")
    private List<Double> loads;

    @Override
    public Integer call() throws Exception {
        StringBuilder table = new StringBuilder("| load, instances used | seed | heard within 1 s | median age s |"
                + " held back | sent in vain | worth earned | cores spent on reading what was turned away |\n"
                + "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (double load : loads) {
            for (int k : uses) {
                for (long seed = trial.seed(); seed < trial.seed() + trial.seeds(); seed++) {
                    SubsetTrial.Outcome o = SubsetTrial.play(instances, k, load, seed);
                    table.append(String.format(Locale.ROOT, "| %.1f, %d | %d | %.3f | %.2f | %.3f | %.3f | %.3f |"
                            + " %.4f |%n", load, k, seed, o.heard(), o.age(), o.heldBack(), o.inVain(), o.earned(),
                            o.spentReading()));
                }
            }
        }
        trial.tell(table.toString(), "posted levels by instances used", List.of("sent in vain", "worth earned"));
        return 0;
    }
}
