package io.banyantally.deployment;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.UpstreamId;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the gateway adds to a request that it sends to an upstream.
 *
 * @param remaining the time left for the response
 * @param expected the upstream that should respond; another process at its address refuses the request
 * @param account the client account of the caller's key
 * @param priority the priority among the requests of an engine, 0 is the highest; empty for services without priorities
 * @param resumeAfter the id of the last event that the caller has, if a stream is resumed
 * @param stage prefill if the engine should only compute the KV cache of the prompt
 * @param prefilledCache the KV cache of the prompt, if another engine has computed it
 */
public record UpstreamRequestOptions(
        Duration remaining,
        UpstreamId expected,
        Optional<ClientAccountId> account,
        OptionalInt priority,
        OptionalLong resumeAfter,
        EngineStage stage,
        Optional<PrefilledCache> prefilledCache) {}
