package io.banyantally.internal.routing;

import io.banyantally.model.AvailabilityZone;
import java.time.Duration;

/**
 * Rates and delays that the router assumes until it has measured them.
 *
 * @param zone the zone of this VM
 * @param otherZoneDelay the time that a round trip to another zone adds
 * @param prefillTokensPerSecond prompt tokens a second of an engine that does not decode
 * @param prefillChunkTokens prompt tokens that an engine computes in one step beside decoding streams
 * @param decodeBase the part of a token interval that does not depend on the batch size
 * @param decodePerStream the time that each stream in the batch adds to a token interval
 * @param transferTokensPerSecond KV cache tokens a second between two engines
 * @param callsPerReplica calls that a replica of a plain service runs at once
 */
public record RouterSettings(
        AvailabilityZone zone,
        Duration otherZoneDelay,
        double prefillTokensPerSecond,
        int prefillChunkTokens,
        Duration decodeBase,
        Duration decodePerStream,
        double transferTokensPerSecond,
        int callsPerReplica) {
    /** Returns the settings of a VM in a zone, with the rates of the engines that both sites run. */
    public static RouterSettings in(AvailabilityZone zone) {
        return new RouterSettings(
                zone, Duration.ofMillis(3), 20_000, 256, Duration.ofMillis(8), Duration.ofNanos(300_000), 80_000, 64);
    }
}
