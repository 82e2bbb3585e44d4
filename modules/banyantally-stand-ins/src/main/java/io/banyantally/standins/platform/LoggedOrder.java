package io.banyantally.standins.platform;

/**
 * An upstream order as it came.
 *
 * @param number rises by one with every order, in the order of their effect
 * @param upstream the upstream that was ordered or given back; empty when refused
 * @param accepted whether the order had an effect
 * @param repeated whether the token was known, so that nothing new was ordered
 */
public record LoggedOrder(
        long number,
        String kind,
        String service,
        String zone,
        boolean cheap,
        String token,
        long fencingNumber,
        String upstream,
        boolean accepted,
        boolean repeated) {}
