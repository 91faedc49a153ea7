package topazladder.emulator.hall;

import java.util.EnumSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import topazladder.endpoint.EndpointSelector;

/** Mistakes that are put into a trial on purpose, to see whether its checks would find them. */
public enum Plant {
    NONE,
    /** A holder looks at its clock now and then, not before each effect. */
    BELIEVES_AFTER_A_PAUSE,
    /** A lease counts from when its answer came. */
    COUNTS_FROM_THE_ANSWER,
    /** An answer counts for the latest ask, whichever it is to. */
    TAKES_ANY_ANSWER,
    /** A grant bears the token of the one before. */
    SAME_TOKEN,
    /** A new leader takes what others granted as over. */
    NEW_LEADER_DOES_NOT_WAIT,
    /** A leader answers without asking a majority. */
    ANSWERS_ALONE,
    /** Clocks are taken as equal. */
    CLOCKS_IGNORED,
    /** A lease is taken as over before it is. */
    EXPIRES_EARLY,
    /** What is being given away is renewed meanwhile. */
    RENEWS_WHAT_ENDS,
    /** A duty is granted though it is held. */
    GRANTS_WHILE_HELD,
    /** The holder says that it stopped, and goes on for a moment. */
    SAYS_STOPPED_TOO_SOON,
    /** A voter forgets how it voted. */
    FORGETS_ITS_VOTE,
    /** A voter's last writes are gone after a crash, though they were flushed. */
    FORGETS_ENTRIES,
    /** A voter that lost its folder votes as who it was. */
    VOTES_AS_ITS_OLD_SELF,
    /** Answers to what a leader asked in a term before count for the term it leads now, as in the library alone. */
    TRUSTS_OLD_ANSWERS,
    /** One that may go goes at once, without its being written down. */
    GOES_WITHOUT_A_WORD,
    /** One that is cold or suspected counts as there. */
    COUNTS_THE_COLD_AS_THERE,
    /** A place is free again as soon as its holder is not heard. */
    FREES_THE_LOST,
    /** A permission of before counts for ever. */
    ANY_PERMISSION_COUNTS,
    /** A conductor takes whoever is back for moved, whatever it runs. */
    TAKES_ANY_RETURN_FOR_MOVED,
    /** B is judged against itself. */
    JUDGES_B_BY_ITSELF,
    /** A step of a conductor that is none any more counts. */
    OBEYS_AN_EARLIER_CONDUCTOR,
    /** Voters go together. */
    VOTERS_TOGETHER,
    /** An ask that was done is done again. */
    A_STEP_TWICE,
    /** Whoever had leave when the release was halted keeps it. */
    A_HALT_LEAVES_PERMISSIONS,
    /** A late word of a release frees what was granted since. */
    RELEASES_ANY_TOKEN,
    /** One instance's word is enough for a server below to be ill for all. */
    ONE_WATCHER_IS_ENOUGH,
    /** Servers are taken out though most look ill. */
    MOST_ILL_COUNTS,
    /** The budgets say nothing of servers below. */
    NO_BUDGET_BELOW,
    /** A server that comes back is given its whole part at once. */
    COMES_BACK_AT_ONCE,
    /** Each instance leaves out what it finds ill, however many that are. */
    LEAVES_OUT_BY_ITSELF,
    /** What is out is never tried again. */
    NEVER_TRIED_AGAIN;

    /** An instance's use of servers below, with that mistake where it is one of them. */
    public static EndpointSelector use(Plant plant, EndpointSelector.Settings terms, RandomGenerator chance) {
        return Planted.use(plant, terms, chance);
    }

    /** Those about servers below, and none. */
    public static Set<Plant> ofBelows() {
        Set<Plant> all = EnumSet.range(ONE_WATCHER_IS_ENOUGH, NEVER_TRIED_AGAIN);
        all.add(NONE);
        return all;
    }

    /** Those about outs and releases, and none. */
    public static Set<Plant> ofReleases() {
        Set<Plant> all = EnumSet.range(GOES_WITHOUT_A_WORD, A_HALT_LEAVES_PERMISSIONS);
        all.add(NONE);
        return all;
    }

    /** Those about duties, and none. */
    public static Set<Plant> ofDuties() {
        Set<Plant> all = EnumSet.range(NONE, TRUSTS_OLD_ANSWERS);
        all.add(RELEASES_ANY_TOKEN);
        return all;
    }
}
