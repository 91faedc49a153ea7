package topazladder.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Keeps idempotency keys short: they are remembered for a window after their requests are over. */
public final class IdempotencyKeys {
    /** Twice what the callers' protocol shows; as long as a SHA-256 digest in hexadecimal digits. */
    private static final int MAX_CHARACTERS = 64;

    private IdempotencyKeys() {}

    /** Returns the key, or in place of a longer one its SHA-256 digest; equal keys stay equal. Null for null. */
    public static String shortened(String key) {
        return key == null || key.length() <= MAX_CHARACTERS ? key : digest(key);
    }

    private static String digest(String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
