package topazladder.rig;

/** The own settings of a rig's processes, in protobuf text format. */
final class RigSettings {
    private final RigPlan plan;
    private final RigPorts ports;

    RigSettings(RigPlan plan, RigPorts ports) {
        this.plan = plan;
        this.ports = ports;
    }

    static String name(int process) {
        return "n" + process;
    }

    /** @param version that the process runs, for plans with a supervisor */
    String of(int process, String version) {
        if (!plan.hall()) {
            return plan.moreSettings();
        }
        StringBuilder s = new StringBuilder(peering(ports.members(process)));
        s.append("hall {\n  folder: \"").append(name(process)).append(".folder\"\n  clock_rate: ")
                .append(plan.clocks().get(process)).append('\n');
        s.append(shared());
        addresses(process, s);
        if (plan.supervisor() != null) {
            releases(process, version, s);
        }
        return s.append("}\n").append(plan.moreSettings()).toString();
    }

    private static String peering(int port) {
        return "peering {\n  listen: \"127.0.0.1:" + port + "\"\n  key_file: \"key\"\n}\n";
    }

    /** What all members have alike: times, voters and duties. */
    private String shared() {
        StringBuilder s = new StringBuilder("  heartbeat: " + plan.pace().heartbeat() + "\n  period: "
                + plan.pace().period() + "\n" + plan.moreHall());
        for (int voter = 0; voter < plan.voters(); voter++) {
            s.append("  voters: \"").append(name(voter)).append("\"\n");
        }
        return s.append(duties()).toString();
    }

    /** The leases that members may hold. */
    String duties() {
        StringBuilder s = new StringBuilder();
        for (int duty = 0; duty < plan.duties(); duty++) {
            int ledger = duty < plan.duties() - 1 ? ports.checkedLedger() : ports.uncheckedLedger();
            s.append("  duties { name: \"duty-").append(duty).append("\" lease: ").append(plan.pace().lease())
                    .append(" most_losses: 16 touch { address: \"127.0.0.1:").append(ledger).append("\" every: ")
                    .append(plan.pace().touch()).append(" } }\n");
        }
        return s.toString();
    }

    private void addresses(int process, StringBuilder s) {
        if (!plan.relayed()) {
            seeds(process, s);
            return;
        }
        for (int other = 0; other < plan.count(); other++) {
            if (other != process) {
                String address = RigPorts.relayHost(process, other) + ':' + ports.relays();
                s.append("  routes { name: \"").append(name(other)).append("\" address: \"").append(address)
                        .append("\" }\n");
                if (other < plan.voters()) {
                    s.append("  seeds: \"").append(address).append("\"\n");
                }
            }
        }
    }

    private void seeds(int but, StringBuilder s) {
        for (int voter = 0; voter < plan.voters(); voter++) {
            if (voter != but) {
                s.append("  seeds: \"127.0.0.1:").append(ports.members(voter)).append("\"\n");
            }
        }
    }

    private void releases(int process, String version, StringBuilder s) {
        s.append("  version: \"").append(version).append("\"\n  next_file: \"").append(name(process))
                .append(".next\"\n  notice: 0.2\n  budgets { name: \"hall\" most: ").append(plan.budget())
                .append(" }\n  duties { name: \"release\" lease: ").append(plan.pace().lease())
                .append(" most_losses: 16 conduct { } }\n");
    }
}
