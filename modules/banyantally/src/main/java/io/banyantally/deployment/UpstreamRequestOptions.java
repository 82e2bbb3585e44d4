package io.banyantally.deployment;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.UpstreamId;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the system itself says to the upstream of a request.
 *
 * @param remaining how long the upstream may work
 * @param expected the upstream that is meant; another process at its address refuses
 * @param account the client account of the caller's key
 * @param priority the rank among the requests of an engine, 0 is the first; empty for services without ranks
 * @param resumeAfter the last event that the caller has, when a stream is continued
 * @param stage prefill if only the prompt is to be read
 * @param prefilledCache the KV cache of the prompt, if another engine holds it for the upstream
 */
public record UpstreamRequestOptions(
        Duration remaining,
        UpstreamId expected,
        Optional<ClientAccountId> account,
        OptionalInt priority,
        OptionalLong resumeAfter,
        EngineStage stage,
        Optional<PrefilledCache> prefilledCache) {}
