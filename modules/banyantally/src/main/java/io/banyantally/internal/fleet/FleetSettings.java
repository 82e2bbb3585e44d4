package io.banyantally.internal.fleet;

import java.time.Duration;

/**
 * What the plans are made with.
 *
 * @param rates what one engine does in each role
 * @param roleChangeTime how long an engine is unavailable for a role change, drain included
 * @param regularPrice price of a regular upstream an hour
 * @param cheapPrice price of a cheap upstream an hour
 * @param startTime how long an ordered upstream takes until it serves
 * @param reclaimLossSeconds engine seconds that a reclaim costs
 */
public record FleetSettings(
        EngineRates rates,
        Duration roleChangeTime,
        double regularPrice,
        double cheapPrice,
        Duration startTime,
        double reclaimLossSeconds) {}
