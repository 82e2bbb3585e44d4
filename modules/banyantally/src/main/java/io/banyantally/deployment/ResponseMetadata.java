package io.banyantally.deployment;

import java.util.Optional;

/**
 * What the status and headers of an upstream's response state.
 *
 * @param notExecuted whether the upstream states that it did not run the request
 * @param instanceMismatch whether a process other than the expected one responded
 * @param signed whether the response has the signature of the upstream
 * @param attempt the attempt to which the response belongs
 */
public record ResponseMetadata(
        boolean notExecuted,
        boolean instanceMismatch,
        boolean signed,
        Optional<String> attempt,
        Optional<ReportedLoad> load) {}
