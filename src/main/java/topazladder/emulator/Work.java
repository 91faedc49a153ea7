package topazladder.emulator;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * What a request's body asks of the runtime, so that the body is all that has to cross a protocol.
 *
 * @param run core-seconds in all
 * @param call server-seconds of the call that its run makes halfway; 0 for none
 */
public record Work(double run, double call) {

    public byte[] body() {
        return String.format(Locale.ROOT, "%.6f %.6f", run, call).getBytes(StandardCharsets.US_ASCII);
    }

    public static Work of(byte[] body) {
        String[] words = new String(body, StandardCharsets.US_ASCII).split(" ");
        return new Work(Double.parseDouble(words[0]), Double.parseDouble(words[1]));
    }
}
