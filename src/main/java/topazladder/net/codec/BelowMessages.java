package topazladder.net.codec;

import java.util.ArrayList;
import java.util.List;
import topazladder.below.Look;
import topazladder.below.Report;
import topazladder.below.Word;
import topazladder.hall.Saying;
import topazladder.hall.proto.BelowReport;
import topazladder.hall.proto.BelowWord;
import topazladder.hall.proto.BelowsMessage;

/** What members say of servers below, as messages and back. */
final class BelowMessages {
    private static final int MOST_SERVERS = 1000;

    private BelowMessages() {}

    static BelowReport report(Report r) {
        return BelowReport.newBuilder().setServer(r.server()).setLook(r.look().ordinal()).setTried(r.tried())
                .setFailed(r.failed()).build();
    }

    static List<Report> reports(List<BelowReport> all) throws MalformedMessageException {
        if (all.size() > MOST_SERVERS) {
            throw new MalformedMessageException("reports of " + all.size() + " servers");
        }
        List<Report> reports = new ArrayList<>();
        for (BelowReport r : all) {
            if (r.getLook() < 0 || r.getLook() >= Look.values().length) {
                continue; // a look of a newer version says nothing here
            }
            if (!(r.getTried() >= 0) || !(r.getFailed() >= 0)) {
                throw new MalformedMessageException("calls that are no number");
            }
            reports.add(new Report(IdentityMessages.name(r.getServer()), Look.values()[r.getLook()], r.getTried(),
                    r.getFailed()));
        }
        return List.copyOf(reports);
    }

    static BelowsMessage belows(Saying.Belows w) {
        BelowsMessage.Builder b = BelowsMessage.newBuilder().setTerm(w.term());
        w.words().forEach(word -> b.addWords(BelowWord.newBuilder().setServer(word.server())
                .setKind(word.kind().ordinal()).setToken(word.token()).setAge(word.age())));
        return b.build();
    }

    static Saying.Belows belows(BelowsMessage m) throws MalformedMessageException {
        if (m.getWordsCount() > MOST_SERVERS) {
            throw new MalformedMessageException("words about " + m.getWordsCount() + " servers");
        }
        List<Word> words = new ArrayList<>();
        for (BelowWord w : m.getWordsList()) {
            if (w.getKind() < 0 || w.getKind() >= Word.Kind.values().length || !(w.getAge() >= 0)) {
                throw new MalformedMessageException(
                        "a word of kind " + w.getKind() + " that is " + w.getAge() + " s old");
            }
            words.add(new Word(IdentityMessages.name(w.getServer()), Word.Kind.values()[w.getKind()], w.getToken(),
                    w.getAge()));
        }
        return new Saying.Belows(m.getTerm(), List.copyOf(words));
    }
}
