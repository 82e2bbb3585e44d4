package io.banyantally.internal.configuration;

import java.util.Optional;

/** Finds the client account of a request. Asked for every request, not once for a connection. */
@FunctionalInterface
public interface KeyVerifier {

    /**
     * Verifies the value of an {@code Authorization} header.
     *
     * @throws KeyRefusedException if there is no key, the key is not valid, or this VM can't prove that its
     *     configuration is current
     */
    ClientAccountParameters verify(Optional<String> authorization) throws KeyRefusedException;
}
