package rushpin.traffic;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Replaces customer numbers by pseudonyms: the first 8 bytes of HMAC-SHA256 (RFC 2104) of the number. Not thread-safe.
 */
final class Pseudonyms {
    /** Shorter keys could be found by exhaustive search, as customer numbers are below 2^33. */
    static final int MIN_KEY_BYTES = 16;

    private final Mac mac;

    /** Throws {@link IllegalArgumentException} if {@code key} is shorter than {@link #MIN_KEY_BYTES}. */
    Pseudonyms(byte[] key) {
        if (key.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "the pseudonym key has " + key.length + " bytes, at least " + MIN_KEY_BYTES + " are required");
        }
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            // Every Java platform provides this algorithm.
            throw new IllegalStateException(e);
        }
    }

    long pseudonym(long customer) {
        return ByteBuffer.wrap(mac.doFinal(
                        ByteBuffer.allocate(Long.BYTES).putLong(customer).array()))
                .getLong();
    }
}
