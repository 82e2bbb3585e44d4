package io.banyantally.standins.load;

import java.util.List;

/**
 * The result of a run, as written in JSON.
 *
 * @param goodput chats per second with a first token within 1.4 s and a mean token interval of at most 32 ms
 * @param ordersStillUnknown orders whose outcome was still unknown after the query at the end of the run
 * @param cut requests whose answer ended early, or whose connection ended without an answer
 */
public record LoadSummary(
        String deployment,
        long seed,
        double seconds,
        long requests,
        long complete,
        long good,
        double goodput,
        long notConnected,
        long cut,
        long wrong,
        List<Count> refusals,
        List<Count> unknown,
        long ordersRan,
        long ordersNotRun,
        long ordersUnknown,
        long ordersWithoutAnswer,
        long ordersStillUnknown,
        long tokens,
        Latency firstToken,
        Latency tokenInterval,
        Latency call,
        List<AccountSummary> accounts,
        List<OrderClaim> orders) {

    /** The number of requests with an error type. */
    public record Count(String type, long count) {}

    /** Quantiles and maximum in milliseconds. */
    public record Latency(long count, double p50, double p95, double p99, double most) {}

    /** The results of one client account. */
    public record AccountSummary(
            String account, double share, long requests, long good, double goodput, long refused) {}
}
