package io.banyantally.internal.admission;

import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.model.ServiceName;
import java.time.Duration;

/**
 * A request that asks to be let in.
 *
 * @param timeLimit how long the caller waits for its answer to begin, from now
 */
public record AdmissionRequest(
        ClientAccountParameters account, ServiceName service, WorkEstimate work, Duration timeLimit) {}
