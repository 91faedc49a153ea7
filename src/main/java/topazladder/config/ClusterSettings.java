package topazladder.config;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import topazladder.config.ServiceSettings.Address;
import topazladder.disruption.DisruptionBudget;

/**
 * A hall of members that know of each other, as the settings have it.
 *
 * @param advertise where others reach this member
 * @param seeds where the hall is found
 * @param voters names of those that vote; none means no group and no duties
 * @param folder of a voter, or null
 * @param heartbeat seconds
 * @param period seconds between two members asked whether they are there
 * @param routes other ways to members, by name
 * @param budgets of what may be out at once
 * @param version that runs here, or empty
 * @param nextFile where the version is written that this one is to come back as, or null
 * @param notice seconds for which one that goes as agreed is not ready before it drains
 * @param clockRate how fast the clock runs; 1 but in rehearsals
 * @param below servers to choose from, or null where there is one address
 */
public record ClusterSettings(Address advertise, List<Address> seeds, List<String> voters, Path folder,
        double heartbeat,
        List<Duty> duties, boolean holdsNone, double period, Map<String, Address> routes,
        double clockRate, List<DisruptionBudget> budgets, String version, Path nextFile, double notice,
        Below below) {

    /**
     * Servers of the index to choose from.
     *
     * @param alone share of them that one instance may leave out by itself
     */
    public record Below(List<Server> servers, double alone) {

        public record Server(String name, Address address) {
        }
    }

    /**
     * @param lease seconds
     * @param mostLosses holders that it may bring down one after another
     */
    public record Duty(String name, double lease, int mostLosses, What what) {
    }

    /** What its holder does. */
    public sealed interface What {}

    /** @param every seconds */
    public record Touch(Address address, double every) implements What {
    }

    /** @param every seconds */
    public record Probe(double every) implements What {
    }

    public record Consume(String broker, String queue) implements What {
    }

    public record Conduct() implements What {
    }
}
