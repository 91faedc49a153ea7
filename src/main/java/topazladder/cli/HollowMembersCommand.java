package topazladder.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import topazladder.rig.HollowPlan;
import topazladder.rig.HollowProcess;

/** Started by scale runs: many hollow members in this process, until its input ends. */
@Command(name = "hollow-members", hidden = true, description = "Runs hollow members of a scale run.")
final class HollowMembersCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path plan;

    @Override
    public Integer call() throws Exception {
        HollowProcess.run(HollowPlan.read(plan));
        return 0;
    }
}
