package io.banyantally.internal.configuration;

import java.util.Optional;

/** Authenticates requests by their API key. Called for each request, not once per connection. */
@FunctionalInterface
public interface KeyVerifier {

    /**
     * Returns the client account of the key in an {@code Authorization} header.
     *
     * @throws KeyRefusedException if there is no key, the key is not valid, or this VM can't prove that its
     *     configuration is current
     */
    ClientAccountParameters verify(Optional<String> authorization) throws KeyRefusedException;
}
