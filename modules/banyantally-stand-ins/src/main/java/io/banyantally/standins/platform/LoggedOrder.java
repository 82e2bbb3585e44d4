package io.banyantally.standins.platform;

/**
 * A logged upstream order.
 *
 * @param number consecutive number, in the order in which the orders took effect
 * @param upstream the upstream that was ordered or given back; empty when refused
 * @param accepted whether the order had an effect
 * @param repeated whether the token had been used before, so that nothing new was ordered
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
