package topazladder.net.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import topazladder.peer.proto.Ask;
import topazladder.peer.proto.Chunk;
import topazladder.peer.proto.Header;
import topazladder.peer.proto.Later;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.warmstart.Origin;
import topazladder.warmstart.SharedEstimate;
import topazladder.warmstart.SharedEstimates;

/** The payloads of the frames: what is asked, and a share as its head and chunks. */
public final class PeerMessages {
    /** Goes up with each change; what older readers can't do without raises READABLE_FROM as well. */
    public static final int SCHEMA = 1;
    private static final int READABLE_FROM = 1;
    /** Of one chunk, so that it stays well under the longest frame. */
    private static final int FACTS_A_CHUNK = 32;
    public static final int MOST_CHUNKS = 64;
    private static final int LONGEST_NAME = 100;
    /** Seconds; what is older says nothing any more, and a wild figure must not spoil sums. */
    private static final double OLDEST = 1e7;

    /** What an asker said of itself. */
    public record Asked(Origin from) {
    }

    /** The head of a share. */
    public record Head(Origin from, int chunks) {
    }

    /** Nothing for now: in so many seconds, or 0 for asking another. */
    public record Delay(Reason reason, double comeBackIn) {

        public enum Reason { BUSY, DRAINING, KNOWS_NOTHING, UNREADABLE }
    }

    private PeerMessages() {}

    public static byte[] ask(byte[] nonce, Origin from) {
        byte[] message = Ask.newBuilder().setSchema(SCHEMA).setReadableFrom(READABLE_FROM).setFrom(origin(from))
                .build().toByteArray();
        byte[] all = Arrays.copyOf(nonce, nonce.length + message.length);
        System.arraycopy(message, 0, all, nonce.length, message.length);
        return all;
    }

    /** The asker's nonce, which stands before its message; needed to prove the rest. */
    public static byte[] nonce(byte[] payload) throws MalformedMessageException {
        if (payload.length < PeerFrames.NONCE) {
            throw new MalformedMessageException("a question without a nonce");
        }
        return Arrays.copyOf(payload, PeerFrames.NONCE);
    }

    public static Asked asked(byte[] payload) throws MalformedMessageException {
        try {
            Ask a = Ask.parseFrom(Arrays.copyOfRange(payload, PeerFrames.NONCE, payload.length));
            readable(a.getReadableFrom());
            return new Asked(origin(a.getFrom()));
        } catch (InvalidProtocolBufferException e) {
            throw new MalformedMessageException("a question that can't be read: " + e.getMessage());
        }
    }

    public static byte[] head(Origin from, int chunks) {
        return Header.newBuilder().setSchema(SCHEMA).setReadableFrom(READABLE_FROM).setFrom(origin(from))
                .setChunks(chunks).build().toByteArray();
    }

    public static Head head(byte[] payload) throws MalformedMessageException {
        try {
            Header h = Header.parseFrom(payload);
            readable(h.getReadableFrom());
            if (h.getChunks() < 0 || h.getChunks() > MOST_CHUNKS) {
                throw new MalformedMessageException(
                        "a share of " + Integer.toUnsignedString(h.getChunks()) + " chunks");
            }
            return new Head(origin(h.getFrom()), h.getChunks());
        } catch (InvalidProtocolBufferException e) {
            throw new MalformedMessageException("the head of a share that can't be read: " + e.getMessage());
        }
    }

    /** Each chunk holds facts of one origin, with ages as of now. */
    public static List<byte[]> chunks(SharedEstimates knowledge, double now) {
        List<byte[]> chunks = new ArrayList<>();
        for (Map.Entry<Origin, List<SharedEstimate>> e : knowledge.byOrigin().entrySet()) {
            List<SharedEstimate> facts = e.getValue();
            for (int i = 0; i < facts.size() && chunks.size() < MOST_CHUNKS; i += FACTS_A_CHUNK) {
                Chunk.Builder chunk = Chunk.newBuilder().setOrigin(origin(e.getKey()));
                for (SharedEstimate f : facts.subList(i, Math.min(facts.size(), i + FACTS_A_CHUNK))) {
                    chunk.addFacts(topazladder.peer.proto.Fact.newBuilder().setKind(f.kind().ordinal() + 1)
                            .setSubject(f.subject()).setValue(f.value()).setWeight(f.weight())
                            .setAge(Math.max(0, now - f.measuredAt())).setVersion(f.version()));
                }
                chunks.add(chunk.build().toByteArray());
            }
        }
        return chunks;
    }

    /** The facts of one chunk, their ages turned into times of the reader's clock; unknown kinds are passed over. */
    public static Collection<SharedEstimate> chunk(byte[] payload, double now) throws MalformedMessageException {
        try {
            Chunk chunk = Chunk.parseFrom(payload);
            Origin origin = origin(chunk.getOrigin());
            if (chunk.getFactsCount() > FACTS_A_CHUNK) {
                throw new MalformedMessageException("a chunk of " + chunk.getFactsCount() + " facts");
            }
            List<SharedEstimate> facts = new ArrayList<>();
            for (topazladder.peer.proto.Fact f : chunk.getFactsList()) {
                boolean known = f.getKind() >= 1 && f.getKind() <= Kind.values().length;
                if (known && f.getAge() >= 0 && f.getAge() <= OLDEST) {
                    facts.add(new SharedEstimate(Kind.values()[f.getKind() - 1], f.getSubject(), origin, f.getValue(),
                            f.getWeight(), now - f.getAge(), f.getVersion()));
                }
            }
            return facts;
        } catch (InvalidProtocolBufferException e) {
            throw new MalformedMessageException("a chunk that can't be read: " + e.getMessage());
        }
    }

    public static byte[] later(Delay delay) {
        return Later.newBuilder().setReasonValue(delay.reason().ordinal()).setComeBackIn(delay.comeBackIn()).build()
                .toByteArray();
    }

    public static Delay later(byte[] payload) throws MalformedMessageException {
        try {
            Later l = Later.parseFrom(payload);
            int reason = l.getReasonValue();
            Delay.Reason[] all = Delay.Reason.values();
            double in = l.getComeBackIn();
            return new Delay(reason >= 0 && reason < all.length ? all[reason] : Delay.Reason.UNREADABLE,
                    in > 0 && in < 3600 ? in : 0);
        } catch (InvalidProtocolBufferException e) {
            throw new MalformedMessageException("a delay that can't be read: " + e.getMessage());
        }
    }

    private static void readable(int from) throws MalformedMessageException {
        if (from > SCHEMA) {
            throw new MalformedMessageException("needs a reader of schema " + from + ", this is " + SCHEMA);
        }
    }

    private static topazladder.peer.proto.Origin origin(Origin o) {
        return topazladder.peer.proto.Origin.newBuilder().setName(o.name()).setIncarnation(o.incarnation())
                .setCores(o.cores()).setCoreSpeed(o.coreSpeed()).setSettings(o.settingsDigest()).build();
    }

    private static Origin origin(topazladder.peer.proto.Origin o) throws MalformedMessageException {
        if (o.getName().isEmpty() || o.getName().length() > LONGEST_NAME) {
            throw new MalformedMessageException("an origin without a name of at most " + LONGEST_NAME + " letters");
        }
        return new Origin(o.getName(), o.getIncarnation(), sane(o.getCores()), sane(o.getCoreSpeed()), o.getSettings());
    }

    /** 0, which stands for unknown, in place of what no machine has. */
    private static double sane(double x) {
        return x > 0 && x < 1e6 ? x : 0;
    }
}
