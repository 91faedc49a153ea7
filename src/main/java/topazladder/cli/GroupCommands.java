package topazladder.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import topazladder.config.ExtensionSettings;
import topazladder.config.ExtensionSettingsFile;
import topazladder.config.InvalidSettingsException;
import topazladder.config.ServiceSettings;
import topazladder.net.cluster.VoterStoreCreator;

/** What is done to a group by hand, on the machine of each of its voters. */
@Command(name = "group", mixinStandardHelpOptions = true, subcommands = GroupCommands.Found.class,
        description = "Founds a hall's group, or forms it anew.")
public final class GroupCommands implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    @Command(name = "found", mixinStandardHelpOptions = true,
            description = "Makes this voter's folder; once for each voter, before the group's first start.")
    static final class Found implements Callable<Integer> {
        @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Own settings, with a hall.")
        private Path settings;
        @Option(names = "--name", paramLabel = "NAME",
                description = "The member's name; by default the one in GW_CONFIG.")
        private String name;
        @Option(names = "--formed", defaultValue = "0", paramLabel = "N",
                description = "To form a group anew that has lost a majority for good: higher than ever before.")
        private long formed;

        @Override
        public Integer call() {
            ExtensionSettings own = ExtensionSettingsFile.read(settings);
            if (own.cluster() == null) {
                throw new InvalidSettingsException("the settings have no hall");
            }
            System.out.println(
                    VoterStoreCreator.create(name != null ? name : ServiceSettings.read(System.getenv()).name(),
                            own.cluster(), formed));
            return 0;
        }
    }
}
