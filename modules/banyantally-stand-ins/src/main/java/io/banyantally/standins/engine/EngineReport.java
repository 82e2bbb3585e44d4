package io.banyantally.standins.engine;

import io.banyantally.standins.ReceivedHeader;
import io.banyantally.upstream.EngineState;
import java.util.List;

/**
 * Generations, orders and requests of an engine stand-in, as returned by {@code GET /control/report}.
 *
 * @param generations the most recent ones, at most {@link EngineStandIn#KEPT_GENERATIONS}
 * @param orders in the order received
 * @param orderBodiesTimedOut connections closed because the body of an order did not arrive within the read timeout
 */
public record EngineReport(
        EngineState state,
        long generationsStarted,
        long generationsFinished,
        long tokensSent,
        int runningStreams,
        List<GenerationRecord> generations,
        List<ReceivedOrder> orders,
        List<String> violations,
        long orderBodiesTimedOut,
        List<ReceivedHeader> headers) {}
