package io.banyantally.internal.http;

import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.KeyRefusedException;
import io.banyantally.internal.configuration.KeyVerifier;
import java.time.Duration;
import java.util.Optional;

/** Verifies the key of a request and converts refusals to typed errors. */
final class KeyCheck {

    /** About the time until a VM without a current proof gets a new one, or is no longer listed in the addresses. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final KeyVerifier verifier;

    KeyCheck(KeyVerifier verifier) {
        this.verifier = verifier;
    }

    ClientAccountParameters check(Optional<String> authorization) throws RequestFailedException {
        try {
            return verifier.verify(authorization);
        } catch (KeyRefusedException refused) {
            throw switch (refused.reason()) {
                case MISSING ->
                    RequestFailedException.notRun(
                            ErrorType.INVALID_KEY, "the request has no key; send it as 'Authorization: Bearer'");
                case NOT_VALID -> RequestFailedException.notRun(ErrorType.INVALID_KEY, "the key is not valid");
                case NOT_PROVEN ->
                    RequestFailedException.notRun(
                            ErrorType.CONFIGURATION_NOT_PROVEN,
                            RETRY_AFTER,
                            "this VM cannot prove that it knows all withdrawn keys; use another address");
            };
        }
    }
}
