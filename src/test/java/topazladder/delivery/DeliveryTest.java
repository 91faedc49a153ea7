package topazladder.delivery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import topazladder.config.FieldSource;
import topazladder.config.InvalidSettingsException;
import topazladder.config.QueueSettings;
import topazladder.config.QueueSettings.Fields;
import topazladder.config.QueueSettings.Route;
import topazladder.config.SettingsReader;
import topazladder.delivery.Delivery.Properties;
import topazladder.delivery.Mapping.Mapped;
import topazladder.delivery.Outcomes.What;
import topazladder.delivery.Remembered.Settlement;
import topazladder.request.RequestClass.Idempotency;
import topazladder.service.Response.Status;

/** What a message comes to as a request, and what its request comes to as an outcome. */
class DeliveryTest {
    private static final Settlement COPIED = new Settlement(What.DELAY, 0);
    private static final SettingsReader TERMS = SettingsReader.ofLines("""
        Classes.count=2
        Classes.0.Name=read
        Classes.0.Idempotency=safe
        Classes.0.DeadlineNs=5000000000
        Classes.1.Name=place
        Classes.1.Idempotency=keyed
        Classes.1.WindowNs=12000000000
        Classes.1.DeadlineNs=5000000000
        Classes.1.Importance=10
        Orgs.count=1
        Orgs.0.Name=acme
        Extra.Cores=1
        Extra.MemoryKb=1000
        """);

    private static QueueSettings terms(Route delay, String rank, boolean believe) {
        return new QueueSettings("q",
                new Fields(FieldSource.of("", "header:offering"), FieldSource.of("", "routing-key:2"),
                        FieldSource.of("", "property:message-id"), FieldSource.of("", rank), null, believe),
                8, 3, 100, delay, null, 10,
                true);
    }

    private static Delivery delivery(String requestClass, String key, Properties p, byte[] body, String... headers) {
        Map<String, String> all = new LinkedHashMap<>(Map.of("offering", requestClass));
        for (int i = 0; i < headers.length; i += 2) {
            all.put(headers[i], headers[i + 1]);
        }
        return new Delivery("q", 1, false, "x", key, all, p, 0, body);
    }

    private static Properties id(String id) {
        return new Properties(id, null, null, null, 0, 0, -1);
    }

    private static Mapped map(Delivery d, QueueSettings terms) {
        return new Mapping(TERMS).map(d, terms, "ref", 1000);
    }

    @Test
    void everyFieldComesFromWhereTheSettingsSay() {
        Mapped m = map(delivery("place", "new.acme", id("F"), new byte[50], Mapping.TRIES, "2"), terms(null, null,
                false));
        assertThat(m.arrival().tenant()).isEqualTo("acme");
        assertThat(m.arrival().idempotencyKey()).isEqualTo("F");
        assertThat(m.arrival().rank()).isEqualTo(0.999);
        assertThat(m.arrival().retry()).isTrue();
        assertThat(m.tries()).isEqualTo(2);
        assertThat(m.arrival().memoryKilobytes()).isBetween(2.0, 2.1);
    }

    @ParameterizedTest
    @CsvSource({"unheard-of,new.acme,F,10,,no known offering", "place,new,F,10,,no customer",
            "place,new.acme,,10,,no fingerprint",
            "read,new.acme,,101,,too large: 101 bytes", "read,new.acme,,10,NaN,a rank that is none",
            "read,new.acme,,10,-1,a rank that is none", "read,new.acme,,10,1e9,a rank that is none",
            "read,new.acme,,10,none,a rank that is none"})
    void whatIsMissingOrWildHasNoDefault(String requestClass, String key, String id, int bytes, String rank,
            String why) {
        Delivery d = rank == null ? delivery(requestClass, key, id(id), new byte[bytes])
                : delivery(requestClass, key, id(id), new byte[bytes], "rank", rank);
        assertThat(map(d, terms(null, rank == null ? null : "header:rank", false)).why()).isEqualTo(why);
    }

    @ParameterizedTest
    @CsvSource({"998, 998", "1001, 1000", "87400, 1000", "900, 1000", "0, 1000"})
    void aPublishersClockIsBelievedOnlyWhereItCanBeRight(double timestamp, double since) {
        Properties p = new Properties("F", null, null, null, 0, timestamp, -1);
        assertThat(map(delivery("place", "new.acme", p, new byte[1]), terms(null, null, true)).arrival()
                .arrivedAtUnixSeconds())
                        .isEqualTo(since);
        assertThat(map(delivery("place", "new.acme", p, new byte[1]), terms(null, null, false)).arrival()
                .arrivedAtUnixSeconds())
                        .isEqualTo(1000);
    }

    @ParameterizedTest
    @ValueSource(strings = {"weather", "header:", "property:weather", "routing-key:0", "routing-key:x"})
    void aPickThatIsNoneIsToldByItsKey(String text) {
        assertThatThrownBy(() -> FieldSource.of("rank", text)).isInstanceOf(InvalidSettingsException.class)
                .hasMessageStartingWith("rank should");
    }

    /** The table of docs/amqp.md; a dash in place of an answer stands for a request that can't be decided on. */
    @ParameterizedTest
    @CsvSource({
            "SERVED, RETRY_SAFE, 0, false, false, ACKNOWLEDGE, NONE",
            "SERVED, AT_MOST_ONCE, 9, false, true, ACKNOWLEDGE, NONE",
            "REJECTED, RETRY_SAFE, 0, true, false, DELAY, NONE",
            "REJECTED, IDEMPOTENT_BY_KEY, 1, true, false, DELAY, NONE",
            "REJECTED, AT_MOST_ONCE, 1, true, false, DELAY, NONE",
            "REJECTED, RETRY_SAFE, 0, false, false, RETURN, NONE",
            "REJECTED, IDEMPOTENT_BY_KEY, 0, false, false, RETURN, NONE",
            "REJECTED, AT_MOST_ONCE, 0, false, false, DEAD_LETTER, NO_SAFE_WAY_BACK",
            "REJECTED, RETRY_SAFE, 2, true, false, DEAD_LETTER, TRIED_TOO_OFTEN",
            "REJECTED, RETRY_SAFE, 2, true, true, HAND_BACK, NONE",
            "REJECTED, IDEMPOTENT_BY_KEY, 0, true, true, HAND_BACK, NONE",
            "REJECTED, AT_MOST_ONCE, 0, true, true, DELAY, NONE",
            "FAILED, RETRY_SAFE, 0, true, false, DELAY, NONE",
            "FAILED, RETRY_SAFE, 2, true, false, DEAD_LETTER, TRIED_TOO_OFTEN",
            "FAILED, IDEMPOTENT_BY_KEY, 0, true, false, DEAD_LETTER, MAY_HAVE_RUN",
            "FAILED, IDEMPOTENT_BY_KEY, 0, true, true, DEAD_LETTER, MAY_HAVE_RUN",
            "FAILED, AT_MOST_ONCE, 0, true, false, DEAD_LETTER, MAY_HAVE_RUN",
            "-, RETRY_SAFE, 0, true, false, DEAD_LETTER, UNUSABLE"})
    void eachAnswerHasOneOutcome(String how, Idempotency repeats, int tries, boolean delay, boolean leaving,
            String what,
            String why) {
        Outcomes.Outcome o = Outcomes.of(how.equals("-") ? null : Status.valueOf(how), repeats, tries,
                terms(delay ? new Route("later", "") : null, null, false), leaving);
        assertThat(o.what() + " " + o.why()).isEqualTo(what + " " + why);
    }

    @Test
    void deadLetterIsMappedHoweverOftenItWasSentAgain() {
        assertThat(map(delivery("place", "new.acme", id("F"), new byte[1], Mapping.TRIES, "1000"), terms(null, null,
                false)).tries()).isEqualTo(1000);
        assertThat(map(delivery("place", "new.acme", id("F"), new byte[1], Mapping.TRIES, "-1"), terms(null, null,
                false)).why()).isEqualTo("a number of tries that is none");
    }

    @Test
    void aCopyThatWaitedIsMappedByWhereItCameFromAtFirst() {
        assertThat(map(delivery("place", "q", id("F"), new byte[1], Mapping.FIRST_KEY, "new.acme"),
                terms(null, null, false)).arrival().tenant()).isEqualTo("acme");
    }

    @Test
    void returnsTakeTurnsAndDoNotSpin() {
        Pace pace = new Pace(10);
        assertThat(pace.turn(0)).isZero();
        assertThat(pace.turn(0)).isEqualTo(0.1);
        assertThat(pace.turn(0.05)).isCloseTo(0.15, Offset.offset(1e-9));
        assertThat(pace.turn(5)).isZero();
    }

    @Test
    void theWindowGrowsWhileFullAndServedHalvesWithDeferralsAndClosesUnderTheLevel() {
        Prefetch p = new Prefetch(32);
        double now = 0;
        int[] seen = new int[12];
        for (int i = 0; i < 12; i++) {
            p.ended(false);
            p.filled();
            p.look(now += 1, 0.5, 0, false);
            seen[i] = p.window();
        }
        assertThat(seen).as(Arrays.toString(seen)).isSorted().endsWith(22);
        p.ended(true);
        p.look(now += 1, 0.5, 0, false);
        assertThat(p.window()).isEqualTo(11);
        p.look(now += 1, 0.5, 0.7, false);
        assertThat(p.window()).as("no rank of the queue passes the level").isEqualTo(1);
        p.ended(false);
        assertThat(p.look(now + 1, 0.5, 0, false)).as("it was not full").isFalse();
    }

    @Test
    void whatIsDoneIsKnownByItsIdItsTryAndItsBody() {
        Remembered r = new Remembered();
        Delivery d = delivery("place", "new.acme", id("A"), new byte[] {1});
        r.settled(d, 0, COPIED, 0);
        assertThat(r.settlement(d, 0, 10)).isEqualTo(COPIED);
        assertThat(r.settlement(d, 1, 10)).as("a copy that waited").isNull();
        assertThat(r.settlement(delivery("place", "new.acme", id("A"), new byte[] {2}), 0, 10)).as("another body")
                .isNull();
        assertThat(r.settlement(delivery("place", "new.acme", id(null), new byte[] {1}), 0, 10)).as("no id").isNull();
        assertThat(r.settlement(d, 0, Remembered.KEPT + 1)).as("too long ago").isNull();
    }

    @Test
    void whatIsRememberedIsBounded() {
        Remembered r = new Remembered();
        for (int i = 0; i < Remembered.MOST + 5000; i++) {
            r.settled(delivery("read", "new.acme", id("m" + i), new byte[1]), 0, COPIED, i * 0.001);
        }
        assertThat(r.size()).isLessThanOrEqualTo(Remembered.MOST + 1);
        r.settled(delivery("read", "new.acme", id("last"), new byte[1]), 0, COPIED,
                10_000);
        assertThat(r.size()).isEqualTo(1);
    }

    @Test
    void waitsAreAnythingUpToABoundThatDoublesAndStops() {
        FullJitter jitter = new FullJitter(0.1, 10, new SplittableRandom(1));
        Set<Double> seen = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            double wait = jitter.next();
            assertThat(wait).isBetween(0.0, Math.min(10, 0.1 * StrictMath.pow(2, i)));
            seen.add(wait);
        }
        assertThat(seen).hasSize(200);
        jitter.reset();
        assertThat(jitter.next()).isLessThan(0.1);
    }

    // Renaming the statuses once changed the text of this header, which brokers' users may read.
    @ParameterizedTest
    @CsvSource({"SERVED, honoured", "REJECTED, deferred", "FAILED, broken_off"})
    void reasonOfADeadLetterKeepsItsWords(Status status, String word) {
        assertThat(Consumer.reasonWord(status)).isEqualTo(word);
    }
}
