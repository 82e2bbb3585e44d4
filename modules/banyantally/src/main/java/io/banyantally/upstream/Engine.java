package io.banyantally.upstream;

import io.banyantally.model.ExchangeId;
import java.util.List;

/** One model engine. Calls block; each runs in the task of the request or peer that needs it. */
public interface Engine {

    /** Starts a generation, or goes on with one that another engine began. */
    AnswerStream generate(GenerationRequest request) throws UpstreamException, InterruptedException;

    /** Stops a generation. Does nothing when it is unknown. */
    void cancel(ExchangeId exchange) throws UpstreamException;

    /** Returns the latest load report. */
    LoadReport loadReport() throws UpstreamException;

    /** Returns the cache events with a number above {@code after} that the engine still holds. */
    List<CacheEvent> cacheEvents(long after) throws UpstreamException;

    /**
     * Carries out an order.
     *
     * @param authority asked after the connection is open and immediately before the order is sent; the order is not sent
     *     when it refuses
     * @throws StaleFencingNumberException if the engine has seen a higher fencing number
     */
    void apply(EngineOrder order, SendPermission authority) throws UpstreamException;

    /** Reads the engine's state. */
    EngineState state() throws UpstreamException;

    /** Copies the KV cache of a prompt prefix from this engine to another. */
    void transferCache(long prefixHash, Engine destination) throws UpstreamException;
}
