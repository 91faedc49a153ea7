package topazladder.wire;

import topazladder.request.Outcome;

/** Maps the outcome codes of the protocol to outcomes. Most codes are the errno values of Linux. */
final class OutcomeCode {

    private OutcomeCode() {}

    static Outcome toOutcome(int code) {
        return switch (code) {
            case 0 -> Outcome.SUCCEEDED;
            case 5 -> Outcome.FAILED;
            case 11 -> Outcome.REJECTED;
            case 104 -> Outcome.CONNECTION_LOST;
            case 110 -> Outcome.TIMED_OUT;
            case 111 -> Outcome.UNREACHABLE;
            case 114 -> Outcome.NOT_STARTED;
            case 125 -> Outcome.CANCELLED;
            default -> throw new MalformedWireException("unknown outcome code: code=" + code);
        };
    }
}
