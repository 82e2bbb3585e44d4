package io.banyantally.upstream;

import io.banyantally.model.ExchangeId;
import java.util.List;

/** A model engine. Calls block; each runs in the thread of the request or peer task that needs it. */
public interface Engine {

    /** Starts a generation, or continues one that another engine started. */
    AnswerStream generate(GenerationRequest request) throws UpstreamException, InterruptedException;

    /** Stops a generation. Has no effect if the engine does not know it. */
    void cancel(ExchangeId exchange) throws UpstreamException;

    /** Returns the latest load report. */
    LoadReport loadReport() throws UpstreamException;

    /** Returns the cache events with a number above {@code after} that the engine still holds. */
    List<CacheEvent> cacheEvents(long after) throws UpstreamException;

    /**
     * Sends an order, which the engine carries out.
     *
     * @param authority checked after the connection is open and immediately before the order is sent; without
     *     permission the order is not sent
     * @throws StaleFencingNumberException if the engine has seen a higher fencing number
     */
    void apply(EngineOrder order, SendPermission authority) throws UpstreamException;

    /** Reads the engine's current state and the last order that it has seen. */
    EngineState state() throws UpstreamException;

    /** Copies the KV cache of a prompt prefix from this engine to {@code destination}. */
    void transferCache(long prefixHash, Engine destination) throws UpstreamException;
}
