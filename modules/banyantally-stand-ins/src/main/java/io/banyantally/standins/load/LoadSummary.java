package io.banyantally.standins.load;

import java.util.List;

/**
 * The result of a run, as written in JSON.
 *
 * @param goodput chats a second whose first token came within 1.4 s, with 32 ms or less between tokens
 * @param ordersStillUnknown orders whose outcome could not be learnt at the end of the run either
 * @param cut requests whose answer ended without its end mark
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

    /** How often a type came. */
    public record Count(String type, long count) {}

    /** Quantiles in milliseconds. */
    public record Latency(long count, double p50, double p95, double p99, double most) {}

    /** The part of one client account. */
    public record AccountSummary(
            String account, double share, long requests, long good, double goodput, long refused) {}
}
