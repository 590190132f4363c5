package rushpin.traffic;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Customers under other names: the first 8 bytes of HMAC-SHA256 (RFC 2104) of the customer's number. One thread's. */
final class Pseudonyms {
    /** Shorter keys could be tried out: customers' numbers are below 2^33. */
    static final int LEAST_KEY = 16;

    private final Mac mac;

    /** {@code key} has {@link #LEAST_KEY} bytes or more. */
    Pseudonyms(byte[] key) {
        if (key.length < LEAST_KEY) {
            throw new IllegalArgumentException("a key of " + key.length + " bytes; " + LEAST_KEY + " at least");
        }
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            // Every Java platform has this algorithm.
            throw new IllegalStateException(e);
        }
    }

    long of(long customer) {
        return ByteBuffer.wrap(mac.doFinal(
                        ByteBuffer.allocate(Long.BYTES).putLong(customer).array()))
                .getLong();
    }
}
