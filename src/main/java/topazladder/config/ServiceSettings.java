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
 * All that a real service instance is told at its start: the one place where the environment and the
 * configuration file are read, checked and given defaults.
 *
 * @param name what the control plane and the logs call it
 * @param listen where callers connect
 * @param runtime where its work is done
 * @param control where it reports that it lives
 * @param index where its calls go, or null in the last tier
 * @param seed of its chance
 * @param stopAfter seconds from the notice to leave to the kill
 * @param sockets descriptors it may hold
 * @param terms what the module is handed
 */
public record ServiceSettings(String name, Address listen, Address runtime, Address control, Address index,
        long seed, double stopAfter, int sockets, SettingsReader terms) {

    /** A day: past any supervisor's patience. */
    private static final double LONGEST_STOP_MS = 86_400_000;

    /** A numeric address: there are no names to resolve. */
    public record Address(String host, int port) {

        /** @param key where the text stands, for the error */
        public static Address of(String key, String text) {
            int colon = text.lastIndexOf(':');
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                if (colon > 0 && port > 0 && port < 65536) {
                    return new Address(text.substring(0, colon), port);
                }
            } catch (NumberFormatException e) {
                // Told below, as any other fault of an address is.
            }
            throw new InvalidSettingsException(key + " should be like 127.0.0.1:4100: " + text);
        }
    }

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

    /** GW_NAME and GW_LISTEN go before the file's own name and listen. */
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
        return new ServiceSettings(name,
                listen == null ? Address.of("listen", word(json, "listen", null)) : Address.of("GW_LISTEN", listen),
                Address.of("runtime", word(json, "runtime", null)),
                Address.of("control", word(json, "control", null)),
                json.getValue("index") == null ? null : Address.of("index", word(json, "index", null)),
                seed(word(json, "seed", "0")),
                number(json, "stop_ms", null, 0, LONGEST_STOP_MS) / 1000,
                (int) number(limits, "sockets", 1024, 1, Integer.MAX_VALUE),
                settings(settings));
    }

    /** Whether nothing but addresses differs, which is all that a running instance can take from a new file. */
    public boolean alikeButForAddresses(ServiceSettings other) {
        return name.equals(other.name) && listen.equals(other.listen) && stopAfter == other.stopAfter
                && sockets == other.sockets && terms.hasSameValues(other.terms);
    }

    private static SettingsReader settings(Map<String, String> settings) {
        try {
            return new SettingsReader(settings);
        } catch (InvalidSettingsException e) {
            throw new InvalidSettingsException("settings." + e.getMessage());
        }
    }

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

    private static JsonObject object(JsonObject json, String key, JsonObject other) {
        Object value = json.getValue(key);
        if (value == null && other != null) {
            return other;
        }
        if (value instanceof JsonObject object) {
            return object;
        }
        throw new InvalidSettingsException(key + (value == null ? " is missing" : " should be an object: " + value));
    }

    private static String word(JsonObject json, String key, String other) {
        Object value = json.getValue(key);
        if (value == null && other != null) {
            return other;
        }
        if (value instanceof String word) {
            return word;
        }
        throw new InvalidSettingsException(key + (value == null ? " is missing" : " should be text: " + value));
    }

    private static double number(JsonObject json, String key, Number other, double least, double most) {
        Object value = json.getValue(key) == null ? other : json.getValue(key);
        if (value instanceof Number n && n.doubleValue() >= least) {
            if (n.doubleValue() > most) {
                throw new InvalidSettingsException(
                        key + " should be a number of at most " + (long) most + ": " + value);
            }
            return n.doubleValue();
        }
        throw new InvalidSettingsException(key + (value == null ? " is missing"
                : " should be a number of at least " + (long) least + ": " + value));
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("seed should be at most 16 hex digits: " + text);
        }
    }
}
