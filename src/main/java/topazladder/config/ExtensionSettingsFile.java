package topazladder.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import topazladder.config.ExtensionSettings.Peering;
import topazladder.config.proto.Settings;

/**
 * Reads and checks the settings file, in protobuf text format by {@code src/main/proto/settings.proto}. Each section
 * has a class of its own.
 */
public final class ExtensionSettingsFile {
    private static final double MAX_CORE_SPEED = 1000;

    private ExtensionSettingsFile() {}

    /**
     * Reads a file. Paths inside it count from the folder that it is in.
     *
     * @throws InvalidSettingsException where it can't be read, or names the first fault in it
     */
    public static ExtensionSettings read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidSettingsException("settings: the file can't be read: " + file);
        }
        return of(text, file.toAbsolutePath().getParent());
    }

    /**
     * Reads the text of a file.
     *
     * @param folder that paths inside it count from; null for the one that the process runs in
     * @throws InvalidSettingsException names the first fault
     */
    public static ExtensionSettings of(String text, Path folder) {
        SettingsFolder settingsFolder = new SettingsFolder(folder);
        Settings settings = SettingsChecks.parse("settings", text, Settings.class);
        Peering peering =
                settings.hasPeering() ? PeeringSection.read(settings.getPeering(), settingsFolder) : null;
        List<BrokerSettings> brokers = BrokersSection.read(settings.getBrokersList(), settingsFolder);
        double coreSpeed = SettingsChecks.inRange("machine.core_speed", settings.getMachine().getCoreSpeed(), 0,
                MAX_CORE_SPEED);
        ClusterSettings cluster = settings.hasHall()
                ? new ClusterSection(peering, brokers, settingsFolder).read(settings.getHall()) : null;
        return new ExtensionSettings(coreSpeed, settings.getMachine().getHall(), peering, brokers, cluster);
    }
}
