package topazladder.rig;

/** Many hollow members ask a rig's leader; then that dies and is started again, and all ask a new one. */
public final class LeaderChangePlay {
    private static final RigPlan.Pace PACE = new RigPlan.Pace(1.5, 0.15, 2, 1);
    private static final double MOST_SECONDS = 60;
    private static final double DOWN_SECONDS = 0.5;
    private static final long LOOK_MS = 50;

    private LeaderChangePlay() {}

    /** @return seconds until all were answered, at the start and after the leader's death */
    public static double[] play(HallRig rig, int members) throws Exception {
        double begin = System.nanoTime() / 1e9;
        try (HollowMembers crowd = new HollowMembers(rig.hollowPlan("c", members, PACE, ""))) {
            double first = untilAnswered(crowd, members, begin);
            rig.killAndStart(rig.leader(), DOWN_SECONDS);
            double dead = System.nanoTime() / 1e9;
            // Those that it answered last, before it died, are not answered by another.
            return new double[] {first, untilAnswered(crowd, members, dead)};
        }
    }

    private static double untilAnswered(HollowMembers crowd, int members, double since) throws Exception {
        while (crowd.answeredSince(since) < members) {
            if (System.nanoTime() / 1e9 - since > MOST_SECONDS) {
                throw new IllegalStateException(members - crowd.answeredSince(since) + " of " + members
                        + " were not answered: " + crowd.unanswered(since));
            }
            Thread.sleep(LOOK_MS);
        }
        return System.nanoTime() / 1e9 - since;
    }
}
