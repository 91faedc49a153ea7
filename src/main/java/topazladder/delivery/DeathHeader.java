package topazladder.delivery;

import java.util.List;
import java.util.Map;

/** Reads the header {@code x-death}, in which a broker lists how often it dead-lettered a message, and why. */
public final class DeathHeader {
    public static final String NAME = "x-death";
    private static final int MAX_COUNT = 1000;

    private DeathHeader() {}

    /**
     * How often consumers rejected the message. What expired does not count, as it may have waited on purpose.
     *
     * @param header its value as the broker sent it, or null; what has another form counts as no rejection
     */
    public static int rejections(Object header) {
        int count = 0;
        if (header instanceof List<?> deaths) {
            for (Object death : deaths) {
                if (death instanceof Map<?, ?> fields && "rejected".equals(String.valueOf(fields.get("reason")))
                        && fields.get("count")instanceof Number number) {
                    count += Math.min(MAX_COUNT, number.intValue());
                }
            }
        }
        return count;
    }
}
