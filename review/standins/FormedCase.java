package standins;

/**
 * The voters of a group lose their folders for good, and the group is formed anew as the page says, while a member that
 * does not vote holds duties. Then the first leader of the new group ends. Nothing may be granted for one lease.
 */
public final class FormedCase extends Case {
    private static final int COUNT = 4;
    private static final int VOTERS = 3;
    private static final int DUTIES = 3;
    private static final String HOLDER = "n3";

    private FormedCase(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new FormedCase(args[0]).run();
    }

    private static String duties(int[] ports) {
        StringBuilder all = new StringBuilder("  duties { name: \"hall-clock\" lease: 4 touch { address: \"127.0.0.1:"
                + ports[0] + "\" every: 1 } }\n");
        for (int duty = 0; duty < DUTIES; duty++) {
            all.append("  duties { name: \"price-" + duty + "\" lease: 40 touch { address: \"127.0.0.1:" + ports[duty]
                    + "\" every: 0.2 } }\n");
        }
        return all.toString();
    }

    @Override
    String play() throws Exception {
        int[] ports = Programs.freePorts(DUTIES);
        TouchLedger[] ledgers = new TouchLedger[DUTIES];
        for (int duty = 0; duty < DUTIES; duty++) {
            ledgers[duty] = new TouchLedger(record, ports[duty], "price-" + duty);
        }
        Hall hall = new Hall(programs, record, requests, COUNT, VOTERS);
        for (int i = 0; i < COUNT; i++) {
            hall.settings(i, duties(ports));
            if (i < VOTERS) {
                hall.found(i, "");
            }
        }
        for (int i = 0; i < COUNT; i++) {
            hall.start(i);
        }
        for (int duty = 0; duty < DUTIES; duty++) {
            TouchLedger ledger = ledgers[duty];
            Hall.await("a member holds the duty", 50, ledger::lastMember);
            if (!HOLDER.equals(ledger.lastMember())) {
                hall.fleet(0, "hand-over price-" + duty + " " + HOLDER);
                Hall.await("n3 holds the duty", 20, () -> HOLDER.equals(ledger.lastMember()) ? HOLDER : null);
            }
        }
        Thread.sleep(2000);
        for (int i = 0; i < VOTERS; i++) {
            hall.signal(i, "KILL");
        }
        for (int i = 0; i < VOTERS; i++) {
            hall.loseFolder(i);
            hall.found(i, " --formed 2");
        }
        for (int i = 0; i < VOTERS; i++) {
            hall.start(i);
        }
        String leader = Hall.await("a leader", 30, () -> hall.leader(0));
        record.say("the group is formed anew, and " + leader + " leads it");
        Thread.sleep(1000);
        if (trouble) {
            hall.signal(leader.charAt(1) - '0', "KILL");
        }
        Thread.sleep(35_000);
        String broken = null;
        for (int duty = 0; duty < DUTIES; duty++) {
            record.say("duty price-" + duty);
            String judged = HoldersCase.judge(record, ledgers[duty].touches());
            broken = judged == null ? broken : judged;
        }
        return broken;
    }
}
