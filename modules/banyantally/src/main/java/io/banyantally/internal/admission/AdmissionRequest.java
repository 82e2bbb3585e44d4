package io.banyantally.internal.admission;

import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.model.ServiceName;
import java.time.Duration;

/**
 * A request that is to be admitted.
 *
 * @param timeLimit how long from now the caller waits for the first part of the answer
 */
public record AdmissionRequest(
        ClientAccountParameters account, ServiceName service, WorkEstimate work, Duration timeLimit) {}
