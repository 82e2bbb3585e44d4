package io.banyantally.standins.engine;

import io.banyantally.standins.SeenHeader;
import io.banyantally.upstream.EngineState;
import java.util.List;

/**
 * What the engine stand-in has run and seen, as returned by {@code GET /control/report}.
 *
 * @param generations the last ones, at most {@link EngineStandIn#KEPT_GENERATIONS}
 * @param orders in the order received
 * @param orderBodiesTimedOut connections closed because the body of an order did not come in time
 */
public record EngineReport(
        EngineState state,
        long generationsStarted,
        long generationsFinished,
        long tokensSent,
        int runningStreams,
        List<RanGeneration> generations,
        List<ReceivedOrder> orders,
        List<String> violations,
        long orderBodiesTimedOut,
        List<SeenHeader> headers) {}
