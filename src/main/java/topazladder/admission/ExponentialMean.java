package topazladder.admission;

import java.util.List;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/**
 * A mean that follows its samples: {@code mean += (sample - mean) / n}, where n is the number of samples so far, at
 * most the window. So it is the plain mean of the first samples, and later one in which old samples fade.
 */
final class ExponentialMean {
    private final int window;
    private double value;
    private int samples;
    /** Those of the samples that were measured here: only what is all measured here is handed on. */
    private int ownSamples;
    private double lastSampleAt;

    /** A mean of nothing yet, which is 0. */
    ExponentialMean(int window) {
        this.window = window;
    }

    void add(double sample, double now) {
        samples = Math.min(window, samples + 1);
        ownSamples = Math.min(window, ownSamples + 1);
        value += (sample - value) / samples;
        lastSampleAt = now;
    }

    /** Takes a mean over as though that many samples had come first; samples measured here overrule them in time. */
    void learn(double mean, double weight) {
        int more = (int) Math.min(weight, window - samples);
        if (more > 0) {
            value = (value * samples + mean * more) / (samples + more);
            samples += more;
        }
    }

    double value() {
        return value;
    }

    /** Whether as many samples were seen as count. */
    boolean isSettled() {
        return samples == window;
    }

    /** Adds this mean to the estimates where all that counts was measured here. */
    void collect(Kind kind, String subject, double now, List<LearnedEstimate> estimates) {
        if (ownSamples == window) {
            estimates.add(new LearnedEstimate(kind, subject, value, ownSamples, now - lastSampleAt));
        }
    }
}
