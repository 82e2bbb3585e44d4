package io.banyantally.deployment;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What the status and headers of an upstream's response state.
 *
 * @param notExecuted whether the upstream states that it did not run the request
 * @param instanceMismatch whether a process other than the expected one responded
 * @param signed whether the response has the signature of the upstream
 * @param attempt the attempt to which the response belongs
 * @param leaving whether the upstream is about to end
 * @param retryAfter how long the upstream wants no further request from this VM
 * @param limitPerSecond the requests a second that the upstream takes from all VMs together; empty if it names no limit
 */
public record ResponseMetadata(
        boolean notExecuted,
        boolean instanceMismatch,
        boolean signed,
        Optional<String> attempt,
        Optional<ReportedLoad> load,
        boolean leaving,
        Optional<Duration> retryAfter,
        OptionalDouble limitPerSecond) {}
