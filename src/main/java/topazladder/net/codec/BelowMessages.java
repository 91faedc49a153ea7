package topazladder.net.codec;

import java.util.ArrayList;
import java.util.List;
import topazladder.cluster.ClusterMessage;
import topazladder.endpoint.EjectionDirective;
import topazladder.endpoint.EndpointHealth;
import topazladder.endpoint.EndpointReport;
import topazladder.hall.proto.BelowReport;
import topazladder.hall.proto.BelowWord;
import topazladder.hall.proto.BelowsMessage;

/** What members say of servers below, as messages and back. */
final class BelowMessages {
    private static final int MOST_SERVERS = 1000;

    private BelowMessages() {}

    static BelowReport report(EndpointReport r) {
        return BelowReport.newBuilder().setServer(r.endpoint()).setLook(r.health().ordinal()).setTried(r.calls())
                .setFailed(r.failures()).build();
    }

    static List<EndpointReport> reports(List<BelowReport> all) throws MalformedMessageException {
        if (all.size() > MOST_SERVERS) {
            throw new MalformedMessageException("reports of " + all.size() + " servers");
        }
        List<EndpointReport> reports = new ArrayList<>();
        for (BelowReport r : all) {
            if (r.getLook() < 0 || r.getLook() >= EndpointHealth.values().length) {
                continue; // a look of a newer version says nothing here
            }
            if (!(r.getTried() >= 0) || !(r.getFailed() >= 0)) {
                throw new MalformedMessageException("calls that are no number");
            }
            reports.add(new EndpointReport(IdentityMessages.name(r.getServer()), EndpointHealth.values()[r.getLook()],
                    r.getTried(),
                    r.getFailed()));
        }
        return List.copyOf(reports);
    }

    static BelowsMessage belows(ClusterMessage.DependencyDecisions w) {
        BelowsMessage.Builder b = BelowsMessage.newBuilder().setTerm(w.term());
        w.decisions().forEach(word -> b.addWords(BelowWord.newBuilder().setServer(word.endpoint())
                .setKind(word.kind().ordinal()).setToken(word.token()).setAge(word.ageSeconds())));
        return b.build();
    }

    static ClusterMessage.DependencyDecisions belows(BelowsMessage m) throws MalformedMessageException {
        if (m.getWordsCount() > MOST_SERVERS) {
            throw new MalformedMessageException("words about " + m.getWordsCount() + " servers");
        }
        List<EjectionDirective> words = new ArrayList<>();
        for (BelowWord w : m.getWordsList()) {
            if (w.getKind() < 0 || w.getKind() >= EjectionDirective.Kind.values().length || !(w.getAge() >= 0)) {
                throw new MalformedMessageException(
                        "a word of kind " + w.getKind() + " that is " + w.getAge() + " s old");
            }
            words.add(new EjectionDirective(IdentityMessages.name(w.getServer()),
                    EjectionDirective.Kind.values()[w.getKind()], w.getToken(),
                    w.getAge()));
        }
        return new ClusterMessage.DependencyDecisions(m.getTerm(), List.copyOf(words));
    }
}
