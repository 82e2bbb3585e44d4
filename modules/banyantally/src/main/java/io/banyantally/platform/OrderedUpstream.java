package io.banyantally.platform;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.util.Optional;

/**
 * An upstream that was ordered, as the ordering interface lists it.
 *
 * @param token the token of its order, if the interface stores tokens
 * @param cheap whether the platform may reclaim it with a few seconds' notice
 * @param running whether it has started
 * @param pricePerHour the price per hour, in the platform's currency
 */
public record OrderedUpstream(
        UpstreamId id,
        ServiceName service,
        AvailabilityZone zone,
        boolean cheap,
        boolean running,
        Optional<OrderToken> token,
        double pricePerHour) {}
