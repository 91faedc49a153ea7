package topazladder.net.codec;

import io.microraft.RaftEndpoint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import topazladder.consensus.VoterEndpoint;
import topazladder.hall.proto.MemberId;
import topazladder.lease.MemberIdentity;

/** Who members and voters are, in all messages of the cluster. */
final class IdentityMessages {
    private static final int MAX_VOTERS = 16;
    private static final int MAX_NAME_CHARACTERS = 200;

    private IdentityMessages() {}

    static MemberId member(MemberIdentity member) {
        return MemberId.newBuilder().setName(member.name()).setLife(member.incarnation()).build();
    }

    static MemberIdentity member(MemberId message) throws MalformedMessageException {
        return new MemberIdentity(name(message.getName()), message.getLife());
    }

    /**
     * Checks a name that was read.
     *
     * @throws MalformedMessageException where it is empty or too long
     */
    static String name(String name) throws MalformedMessageException {
        if (name.isEmpty() || name.length() > MAX_NAME_CHARACTERS) {
            throw new MalformedMessageException("a name of " + name.length() + " characters");
        }
        return name;
    }

    static VoterEndpoint voter(String id) throws MalformedMessageException {
        try {
            return VoterEndpoint.of(name(id));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("no voter: " + id);
        }
    }

    static List<String> voterIds(Collection<? extends RaftEndpoint> voters) {
        return voters.stream().map(voter -> voter.getId().toString()).toList();
    }

    static List<RaftEndpoint> voters(List<String> ids) throws MalformedMessageException {
        if (ids.size() > MAX_VOTERS) {
            throw new MalformedMessageException(ids.size() + " voters");
        }
        List<RaftEndpoint> voters = new ArrayList<>();
        for (String id : ids) {
            voters.add(voter(id));
        }
        return voters;
    }
}
