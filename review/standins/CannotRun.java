package standins;

/** The case could not be played: nothing is said of the rule. */
final class CannotRun extends Exception {
    private static final long serialVersionUID = 1;

    CannotRun(String why) {
        super(why);
    }
}
