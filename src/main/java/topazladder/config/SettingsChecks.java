package topazladder.config;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import java.util.Set;

/** Checks that the files in protobuf text format have in common. */
final class SettingsChecks {

    private SettingsChecks() {}

    /**
     * Parses a file in protobuf text format.
     *
     * @param file what the file is called in the error
     * @throws InvalidSettingsException with the line of the first fault
     */
    static <T extends Message> T parse(String file, String text, Class<T> type) {
        try {
            return TextFormat.parse(text, type);
        } catch (TextFormat.ParseException e) {
            throw new InvalidSettingsException(file + ": line " + e.getLine() + ": " + e.getMessage());
        }
    }

    /** Returns a value that lies within its bounds, which belong to it. */
    static double inRange(String key, double value, double min, double max) {
        if (value >= min && value <= max) {
            return value;
        }
        throw new InvalidSettingsException(key + " should be a number from " + min + " to " + max + ": " + value);
    }

    /** Checks a name of letters, digits, dots, underscores and hyphens that no other item of the list has. */
    static void uniqueName(String key, String name, Set<String> names) {
        if (!name.matches("[A-Za-z0-9._-]{1,100}") || !names.add(name)) {
            throw notUnique(key, name);
        }
    }

    /** An error for a name that is empty, malformed or given twice. */
    static InvalidSettingsException notUnique(String key, String name) {
        return new InvalidSettingsException(key + " should be a word of its own: '" + name + "'");
    }
}
