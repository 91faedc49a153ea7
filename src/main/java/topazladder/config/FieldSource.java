package topazladder.config;

/**
 * Where a request's field is taken from in a message. As text: {@code =word} for always that word, {@code header:NAME},
 * {@code property:NAME}, {@code routing-key}, {@code routing-key:N} for its Nth word counted from 1,
 * {@code exchange} and {@code queue}.
 *
 * @param name the word itself, or the name of the header or property; else empty
 * @param wordNumber of the routing key's words, counted from 1; 0 where no word is picked
 */
public record FieldSource(From from, String name, int wordNumber) {

    /** The part of a message that is looked at. */
    public enum From {
        ALWAYS, HEADER, PROPERTY, ROUTING_KEY, ROUTING_KEY_WORD, EXCHANGE, QUEUE
    }

    /**
     * Reads the text form.
     *
     * @param key where the text stands, for the error
     * @return null for a text that is absent or empty
     * @throws InvalidSettingsException for a text that has none of the forms
     */
    public static FieldSource of(String key, String text) {
        if (text == null || text.isEmpty()) {
            return null;
        }
        if (text.startsWith("=")) {
            return new FieldSource(From.ALWAYS, text.substring(1), 0);
        }
        String name = text.substring(text.indexOf(':') + 1);
        if (text.startsWith("header:") && !name.isEmpty()) {
            return new FieldSource(From.HEADER, name, 0);
        }
        if (text.startsWith("property:")) {
            return property(key, text, name);
        }
        if (text.matches("routing-key:[1-9][0-9]{0,2}")) {
            return new FieldSource(From.ROUTING_KEY_WORD, "", Integer.parseInt(name));
        }
        return switch (text) {
            case "routing-key" -> new FieldSource(From.ROUTING_KEY, "", 0);
            case "exchange" -> new FieldSource(From.EXCHANGE, "", 0);
            case "queue" -> new FieldSource(From.QUEUE, "", 0);
            default -> throw new InvalidSettingsException(key
                    + " should be =WORD, header:NAME, property:NAME, routing-key, routing-key:N,"
                    + " exchange or queue: " + text);
        };
    }

    private static FieldSource property(String key, String text, String name) {
        return switch (name) {
            case "message-id", "correlation-id", "type", "priority" -> new FieldSource(From.PROPERTY, name, 0);
            default -> throw new InvalidSettingsException(
                    key + " should name message-id, correlation-id, type or priority: " + text);
        };
    }
}
