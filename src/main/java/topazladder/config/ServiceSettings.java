package topazladder.config;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * All that a service instance is told at its start: the one place where the environment and the configuration file
 * are read, checked and given defaults.
 *
 * @param name what the control plane and the logs call the instance: {@code GW_NAME} or {@code name}
 * @param listen where callers connect: {@code GW_LISTEN} or {@code listen}
 * @param runtime where requests are run
 * @param control where the instance reports that it lives
 * @param index where dependency calls go, or null, the default, in the last tier
 * @param seed of its random numbers: up to 16 hex digits, 0 by default
 * @param stopAfterSeconds from the notice to shut down to the kill: {@code stop_ms}, at most a day
 * @param maxSockets descriptors it may hold: {@code limits.sockets}, 1024 by default
 * @param terms what the admission controller is handed: {@code settings}
 */
public record ServiceSettings(String name, Address listen, Address runtime, Address control, Address index,
        long seed, double stopAfterSeconds, int maxSockets, SettingsReader terms) {

    /** A day: past any supervisor's patience. */
    private static final double MAX_STOP_MILLISECONDS = 86_400_000;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MAX_PORT = 65_535;

    /** A numeric address: there are no names to resolve. */
    public record Address(String host, int port) {

        /**
         * Reads the form {@code host:port}.
         *
         * @param key where the text stands, for the error
         * @throws InvalidSettingsException for a text of another form
         */
        public static Address of(String key, String text) {
            int colon = text.lastIndexOf(':');
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                if (colon > 0 && port > 0 && port <= MAX_PORT) {
                    return new Address(text.substring(0, colon), port);
                }
            } catch (NumberFormatException e) {
                // Reported below, as any other fault of an address is.
            }
            throw new InvalidSettingsException(key + " should be like 127.0.0.1:4100: " + text);
        }
    }

    /**
     * Reads the file that {@code GW_CONFIG} names.
     *
     * @throws InvalidSettingsException where it can't be read, or names the first fault in it
     */
    public static ServiceSettings read(Map<String, String> environment) {
        String path = environment.get("GW_CONFIG");
        if (path == null || path.isBlank()) {
            throw new InvalidSettingsException("GW_CONFIG is missing; expected the path of the configuration file");
        }
        try {
            return of(Files.readString(Path.of(path)), environment);
        } catch (IOException e) {
            throw new InvalidSettingsException("GW_CONFIG: the file can't be read: " + path);
        }
    }

    /**
     * Reads the text of a configuration file. {@code GW_NAME} and {@code GW_LISTEN} of the environment take precedence
     * over the file's {@code name} and {@code listen}.
     *
     * @throws InvalidSettingsException names the first fault
     */
    public static ServiceSettings of(String text, Map<String, String> environment) {
        JsonObject json;
        try {
            json = new JsonObject(text);
        } catch (DecodeException e) {
            throw new InvalidSettingsException("GW_CONFIG: the file should hold one JSON object");
        }
        String name = environment.containsKey("GW_NAME") ? environment.get("GW_NAME") : word(json, "name", null);
        if (name.isEmpty() || name.chars().anyMatch(c -> c <= ' ')) {
            throw new InvalidSettingsException("name (GW_NAME) should be one word: '" + name + "'");
        }
        String listen = environment.get("GW_LISTEN");
        JsonObject limits = object(json, "limits", new JsonObject());
        Map<String, String> settings = new LinkedHashMap<>();
        flatten("", object(json, "settings", null), settings);
        return new ServiceSettings(
                name,
                listen == null ? address(json, "listen") : Address.of("GW_LISTEN", listen),
                address(json, "runtime"),
                address(json, "control"),
                json.getValue("index") == null ? null : address(json, "index"),
                seed(word(json, "seed", "0")),
                number(json, "stop_ms", null, 0, MAX_STOP_MILLISECONDS) / 1000,
                (int) number(limits, "sockets", DEFAULT_SOCKETS, 1, Integer.MAX_VALUE),
                settings(settings));
    }

    /** Whether nothing but addresses and the seed differs, which is all that a running instance can take over. */
    public boolean alikeButForAddresses(ServiceSettings other) {
        return name.equals(other.name) && listen.equals(other.listen) && stopAfterSeconds == other.stopAfterSeconds
                && maxSockets == other.maxSockets && terms.map().equals(other.terms.map());
    }

    private static SettingsReader settings(Map<String, String> settings) {
        try {
            return new SettingsReader(settings);
        } catch (InvalidSettingsException e) {
            throw new InvalidSettingsException("settings." + e.getMessage());
        }
    }

    /** Writes each value under its path; the items of a list of objects under .0, .1 and so on, with .count. */
    private static void flatten(String at, JsonObject json, Map<String, String> settings) {
        json.forEach(entry -> flatten(at + entry.getKey(), entry.getValue(), settings));
    }

    private static void flatten(String at, Object value, Map<String, String> settings) {
        if (value instanceof JsonObject object) {
            flatten(at + ".", object, settings);
        } else if (value instanceof JsonArray array && array.stream().anyMatch(JsonObject.class::isInstance)) {
            settings.put(at + ".count", String.valueOf(array.size()));
            for (int i = 0; i < array.size(); i++) {
                flatten(at + "." + i, array.getValue(i), settings);
            }
        } else if (value instanceof JsonArray array) {
            settings.put(at, array.stream().map(String::valueOf).collect(Collectors.joining(",")));
        } else if (value != null) {
            settings.put(at, value.toString());
        }
    }

    private static Address address(JsonObject json, String key) {
        return Address.of(key, word(json, key, null));
    }

    private static JsonObject object(JsonObject json, String key, JsonObject defaultValue) {
        return value(json, key, defaultValue, JsonObject.class, "an object");
    }

    private static String word(JsonObject json, String key, String defaultValue) {
        return value(json, key, defaultValue, String.class, "text");
    }

    private static double number(JsonObject json, String key, Number defaultValue, double min, double max) {
        String expected = "a number of at least " + (long) min;
        Number value = value(json, key, defaultValue, Number.class, expected);
        if (!(value.doubleValue() >= min)) {
            throw new InvalidSettingsException(key + " should be " + expected + ": " + value);
        }
        if (value.doubleValue() > max) {
            throw new InvalidSettingsException(key + " should be a number of at most " + (long) max + ": " + value);
        }
        return value.doubleValue();
    }

    /** The value of a key, which is needed where it has no default. */
    private static <T> T value(JsonObject json, String key, T defaultValue, Class<T> type, String expected) {
        Object value = json.getValue(key) == null ? defaultValue : json.getValue(key);
        if (value == null) {
            throw new InvalidSettingsException(key + " is missing");
        }
        if (!type.isInstance(value)) {
            throw new InvalidSettingsException(key + " should be " + expected + ": " + value);
        }
        return type.cast(value);
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("seed should be at most 16 hex digits: " + text);
        }
    }
}
