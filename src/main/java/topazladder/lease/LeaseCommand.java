package topazladder.lease;

import java.util.List;

/**
 * What the group agrees on, one after another. Each names the token that its proposer saw, so that one that comes
 * twice, or late, changes nothing. None carries a time: clocks differ, and a time in the log would be believed by all.
 */
public sealed interface LeaseCommand {

    /** The duties there are; those that are not listed and held by nobody are taken out. */
    record Define(List<LeaseSettings> duties) implements LeaseCommand {
    }

    /** To a member, while nobody holds it and {@code seen} is the last token granted. */
    record Grant(String duty, MemberIdentity to, long seen) implements LeaseCommand {
    }

    /** The holder has stopped. */
    record Release(String duty, long token) implements LeaseCommand {
    }

    /** The holder's time is surely over, whether it stopped or not. */
    record Expire(String duty, long token) implements LeaseCommand {
    }

    /** The holder has held long enough that it was not brought down by the duty. */
    record Settled(String duty, long token) implements LeaseCommand {
    }

    /** The process that held under the token has ended: another life of its name was heard. */
    record Crashed(String duty, long token) implements LeaseCommand {
    }

    /** The holder could not do it, and says why. */
    record Failed(String duty, long token, String why) implements LeaseCommand {
    }

    /** Nobody is granted it until it is resumed. */
    record Halt(String duty, String why) implements LeaseCommand {
    }

    record Resume(String duty) implements LeaseCommand {
    }

    /** An operator's wish that this member hold it; an empty name is no wish. */
    record HandOver(String duty, String member) implements LeaseCommand {
    }

    /** Begins a leader's time; it decides nothing before this is applied. */
    record Lead(String leader, long nonce) implements LeaseCommand {
    }

    /** Tokens go on above this; after a group was formed anew from what is left of it. */
    record RaiseTokens(long to) implements LeaseCommand {
    }
}
