package topazladder.net.codec;

import topazladder.request.Outcome;

/** What the runtime says. Notices with a number are repeated on a new link unless they were acknowledged. */
public sealed interface RuntimeNotice {

    /**
     * The answer to {@code sync}: the runtime is up.
     *
     * @param loaded whether it was loaded at its start, or empty
     * @param upSeconds since its start
     */
    record Ready(boolean loaded, double upSeconds) implements RuntimeNotice {
    }

    /**
     * A run is over.
     *
     * @param result empty unless the run succeeded
     */
    record RunEnded(long number, String reference, Outcome outcome, double elapsedSeconds, byte[] result)
            implements
                RuntimeNotice {
    }

    /** A run waits for a call to the dependency, which has this body. */
    record DependencyCallRequested(long number, String reference, byte[] body) implements RuntimeNotice {
    }

    /** The gauges, in the order of the settings, under the tag that asked for them. */
    record Gauges(String tag, double[] values) implements RuntimeNotice {
    }

    /** The result of the deep health check that was asked for under the tag. */
    record HealthCheckCompleted(String tag, boolean passed) implements RuntimeNotice {
    }

    /**
     * A command was not carried out.
     *
     * @param command its first word
     * @param reference what it was about; empty where the runtime names nothing
     */
    record CommandRejected(String command, String reference) implements RuntimeNotice {
    }

    /** A remark that has no meaning to the program. */
    record Remark(long number, String text) implements RuntimeNotice {
    }
}
