package topazladder.faults;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What the world holds against instances about requests, and what not. */
class RequestLedgerTest {
    private final RequestLedger ledger = new RequestLedger(2);

    private void sent(int count) {
        for (int i = 0; i < count; i++) {
            ledger.sent();
            ledger.answered(0, 10, 11);
        }
    }

    @Test
    void fewLateOnesAreBorneAndMoreThanTwoInAHundredAreNot() {
        sent(300);
        for (int i = 0; i < 6; i++) {
            ledger.answered(0, 20, 11);
        }
        assertThat(ledger.breaks()).isEmpty();
        ledger.sent();
        ledger.unanswered(0, 30);
        assertThat(ledger.breaks()).singleElement().asString().contains("7 of 301 tickets had no answer");
    }

    @Test
    void whatAProcessCouldNotDoWhileItStoodStillIsExcused() {
        sent(100);
        ledger.stands(0, 20, true);
        for (int i = 0; i < 10; i++) {
            ledger.unanswered(0, 21);
        }
        ledger.stands(0, 25, false);
        for (int i = 0; i < 10; i++) {
            ledger.answered(0, 30, 26);
        }
        assertThat(ledger.breaks()).isEmpty();
        assertThat(ledger.counts()).containsEntry("excused", 20L);
        for (int i = 0; i < 10; i++) {
            ledger.answered(0, 60, 50);
        }
        assertThat(ledger.breaks()).hasSize(1);
    }

    @Test
    void whatADrainLeavesBehindCountsAndWhatAKillDoesNot() {
        sent(100);
        ledger.closed(0, 20);
        ledger.ended(0, false);
        assertThat(ledger.breaks()).isEmpty();
        ledger.closed(0, 20);
        ledger.ended(0, true);
        assertThat(ledger.breaks()).singleElement().asString().contains("20 were left behind");
    }

    @Test
    void aFingerprintRunsOnceInItsWindowAtOneInstanceAndMayAtAnother() {
        ledger.ran(0, 10, "f", "a1");
        ledger.ran(0, 11, "f", "a1"); // the same run, said again on another link
        ledger.ran(1, 12, "f", "b1");
        assertThat(ledger.breaks()).isEmpty();
        ledger.ran(0, 13, "f", "a2");
        assertThat(ledger.breaks()).singleElement().asString().contains("runs f twice");
        ledger.ran(0, 40, "g", "a3");
        ledger.forgets(0);
        ledger.ran(0, 41, "g", "a4");
        assertThat(ledger.breaks()).hasSize(1);
    }

    @Test
    void aSecondAnswerIsABreakAtOnce() {
        ledger.strange(1, 12, "7 of 9");
        assertThat(ledger.breaks()).singleElement().asString().contains("n1 answers");
    }
}
