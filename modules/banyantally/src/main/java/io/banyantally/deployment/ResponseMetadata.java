package io.banyantally.deployment;

import java.util.Optional;

/**
 * What the headers of an upstream's answer say.
 *
 * @param notExecuted whether the upstream states that it did not run the request
 * @param otherInstance whether another process than the expected one answered
 * @param signed whether the answer carries the upstream's signature
 * @param attempt the attempt that the answer belongs to
 */
public record ResponseMetadata(
        boolean notExecuted,
        boolean otherInstance,
        boolean signed,
        Optional<String> attempt,
        Optional<ReportedLoad> load) {}
