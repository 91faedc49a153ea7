package topazladder.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import topazladder.config.ExtensionSettings.Secret;

/**
 * The folder that the paths inside a settings file count from, and the files that it names.
 *
 * @param path null for the folder that the process runs in
 */
record SettingsFolder(Path path) {
    private static final int MIN_KEY_BYTES = 16;
    private static final int MAX_FILE_BYTES = 1 << 18;

    /** The path that a setting names, or null where it is empty. */
    Path resolveOrNull(String setting) {
        return setting.isEmpty() ? null : resolve(setting);
    }

    private Path resolve(String setting) {
        return path == null ? Path.of(setting) : path.resolve(setting);
    }

    /** Reads a key that signs messages, of at least 16 bytes. */
    Secret readKey(String key, String file) {
        return read(key, file, MIN_KEY_BYTES);
    }

    /** Reads a secret that may be of any length but 0. */
    Secret readSecret(String key, String file) {
        return read(key, file, 1);
    }

    /** Reads a text in UTF-8 that is not empty. */
    String readText(String key, String file) {
        return new String(readSecret(key, file).bytes(), StandardCharsets.UTF_8);
    }

    private Secret read(String key, String file, int minBytes) {
        if (file.isEmpty()) {
            throw new InvalidSettingsException(key + " is missing");
        }
        try {
            Path resolved = resolve(file);
            if (Files.size(resolved) > MAX_FILE_BYTES) {
                throw new InvalidSettingsException(
                        key + " should name a file of at most " + MAX_FILE_BYTES + " bytes: " + file);
            }
            byte[] bytes = withoutLineBreak(Files.readAllBytes(resolved));
            if (bytes.length < minBytes) {
                throw new InvalidSettingsException(
                        key + " should name a file of at least " + minBytes + " bytes: " + file);
            }
            return new Secret(bytes);
        } catch (IOException e) {
            throw new InvalidSettingsException(key + ": the file can't be read: " + file);
        }
    }

    /** Editors end a file with a line break, which no operator means as a part of the key. */
    private static byte[] withoutLineBreak(byte[] bytes) {
        int length = bytes.length;
        while (length > 0 && (bytes[length - 1] == '\n' || bytes[length - 1] == '\r')) {
            length--;
        }
        return Arrays.copyOf(bytes, length);
    }
}
