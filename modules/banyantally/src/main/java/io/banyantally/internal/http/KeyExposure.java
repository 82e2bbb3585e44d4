package io.banyantally.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Detects a caller's key in parts of a request that are forwarded to upstreams. Such a request is refused, because a
 * key that reaches an upstream or its logs is compromised.
 */
final class KeyExposure {

    private static final String SCHEME = "Bearer ";

    private final Optional<byte[]> key;

    private KeyExposure(Optional<byte[]> key) {
        this.key = key;
    }

    /** Creates the check for the key in the value of an Authorization header. */
    static KeyExposure of(Optional<String> authorization) {
        return new KeyExposure(authorization
                .map(value -> value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                        ? value.substring(SCHEME.length()).trim()
                        : value.trim())
                .filter(value -> !value.isEmpty())
                .map(value -> value.getBytes(StandardCharsets.UTF_8)));
    }

    /** Refuses the request if its path, query or body contains the key. */
    void check(String pathAndQuery, byte[] body) throws RequestFailedException {
        if (isExposed(pathAndQuery) || contains(body)) {
            throw RequestFailedException.notRun(
                    ErrorType.KEY_EXPOSED,
                    "the key is outside the Authorization header; send it only there, and consider it compromised");
        }
    }

    boolean isExposed(String text) {
        return contains(text.getBytes(StandardCharsets.UTF_8));
    }

    private boolean contains(byte[] bytes) {
        return key.isPresent() && indexOf(bytes, key.get()) >= 0;
    }

    private static int indexOf(byte[] bytes, byte[] searched) {
        for (int start = 0; start <= bytes.length - searched.length; start++) {
            int matched = 0;
            while (matched < searched.length && bytes[start + matched] == searched[matched]) {
                matched++;
            }
            if (matched == searched.length) {
                return start;
            }
        }
        return -1;
    }
}
