package topazladder.admission;

import java.util.List;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/**
 * Mean of recent samples: {@code mean += (sample - mean) / n}, where n is the number of samples so far, capped at the
 * window. It is the arithmetic mean until the window is full, and an exponentially weighted moving average after that.
 */
final class ExponentialMean {
    private final int window;
    private double value;
    private int samples;
    /** Number of samples measured by this server; peers get the mean only once these alone fill the window. */
    private int ownSamples;
    private double lastSampleAt;

    /** Creates a mean without samples, whose value is 0. */
    ExponentialMean(int window) {
        this.window = window;
    }

    void add(double sample, double now) {
        samples = Math.min(window, samples + 1);
        ownSamples = Math.min(window, ownSamples + 1);
        value += (sample - value) / samples;
        lastSampleAt = now;
    }

    /**
     * Merges a peer's mean as if it came from {@code weight} samples, as far as the window is not full yet. Samples
     * measured by this server replace its contribution over time.
     */
    void learn(double mean, double weight) {
        int added = (int) Math.min(weight, window - samples);
        if (added > 0) {
            value = (value * samples + mean * added) / (samples + added);
            samples += added;
        }
    }

    double value() {
        return value;
    }

    /** Whether the window is full. */
    boolean isSettled() {
        return samples == window;
    }

    /** Adds this mean to the estimates if samples measured by this server fill the window. */
    void collect(Kind kind, String subject, double now, List<LearnedEstimate> estimates) {
        if (ownSamples == window) {
            estimates.add(new LearnedEstimate(kind, subject, value, ownSamples, now - lastSampleAt));
        }
    }
}
