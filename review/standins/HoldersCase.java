package standins;

import java.util.List;

/**
 * A duty's lease is made shorter by a reload at all members. Later the member that leads and holds the duty is cut off.
 * The next holder must not begin while the one that was cut off still takes the duty for its own.
 */
public final class HoldersCase extends Case {
    private static final double LONG_LEASE = 30;
    private static final double SHORT_LEASE = 4;
    private static final int COUNT = 3;
    /** A touch under an earlier token may have been on its way for so long. */
    private static final double ON_ITS_WAY = 1;

    private HoldersCase(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new HoldersCase(args[0]).run();
    }

    @Override
    String play() throws Exception {
        int port = Programs.freePorts(1)[0];
        TouchLedger ledger = new TouchLedger(record, port, "price-clock");
        Hall hall = new Hall(programs, record, requests, COUNT, COUNT);
        for (int i = 0; i < COUNT; i++) {
            hall.settings(i, duty(LONG_LEASE, port));
            hall.found(i, "");
        }
        for (int i = 0; i < COUNT; i++) {
            hall.start(i);
        }
        Hall.await("a member holds the duty", 50, ledger::lastMember);
        String leader = Hall.await("a leader", 10, () -> hall.leader(0));
        record.say("leader " + leader + ", holder " + ledger.lastMember());
        if (!leader.equals(ledger.lastMember())) {
            record.say(hall.fleet(0, "hand-over price-clock " + leader).strip());
            Hall.await("the leader holds the duty", 20, () -> leader.equals(ledger.lastMember()) ? leader : null);
        }
        Thread.sleep(3000);
        for (int i = 0; i < COUNT; i++) {
            hall.settings(i, duty(SHORT_LEASE, port));
            hall.signal(i, "HUP");
        }
        Hall.await("the group has the shorter lease", 10,
                () -> Double.valueOf(SHORT_LEASE).equals(hall.lease(0, "price-clock")) ? true : null);
        record.say("the group has the shorter lease");
        Thread.sleep(4000);
        int apart = leader.charAt(1) - '0';
        if (!leader.equals(hall.leader(0)) || !leader.equals(ledger.lastMember())) {
            throw new CannotRun("leader or holder changed by itself");
        }
        if (trouble) {
            hall.cutOff(apart, true);
        }
        Thread.sleep(22_000);
        if (trouble) {
            hall.cutOff(apart, false);
        }
        Thread.sleep(1000);
        return judge(record, ledger.touches());
    }

    private static String duty(double lease, int port) {
        return "  duties { name: \"hall-clock\" lease: 4 touch { address: \"127.0.0.1:" + port + "\" every: 1 } }\n"
                + "  duties { name: \"price-clock\" lease: " + lease + " touch { address: \"127.0.0.1:" + port
                + "\" every: 0.2 } }\n";
    }

    /** How often an earlier holder acted while a later one held the duty; null if it did not. */
    static String judge(Record record, List<TouchLedger.Touch> touches) {
        TouchLedger.Touch first = null; // under the highest token so far
        int stale = 0;
        double last = 0;
        String who = "";
        for (TouchLedger.Touch touch : touches) {
            if (first == null || touch.token() > first.token()) {
                first = touch;
                record.say("%s holds the duty under token %d from %.3f on".formatted(touch.member(), touch.token(),
                        touch.at()));
            } else if (touch.token() < first.token() && touch.at() > first.at() + ON_ITS_WAY) {
                stale++;
                last = touch.at();
                who = touch.member() + " under token " + touch.token() + " while " + first.member()
                        + " held it under token " + first.token();
            }
        }
        return stale < 3 ? null : stale + " touches of " + who + ", the last at %.3f".formatted(last);
    }
}
