package io.banyantally.internal.fleet;

import java.time.Duration;

/**
 * Engine rates, times and prices that plans are based on.
 *
 * @param rates the throughput of one engine in each role
 * @param roleChangeTime how long an engine is unavailable for a role change, drain included
 * @param regularPrice price of a regular upstream per hour
 * @param cheapPrice price of a cheap upstream per hour
 * @param startTime how long an ordered upstream takes until it serves
 * @param reclaimLossSeconds engine seconds lost to a reclaim
 */
public record FleetSettings(
        EngineRates rates,
        Duration roleChangeTime,
        double regularPrice,
        double cheapPrice,
        Duration startTime,
        double reclaimLossSeconds) {}
