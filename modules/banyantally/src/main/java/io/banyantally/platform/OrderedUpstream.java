package io.banyantally.platform;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.util.Optional;

/**
 * An upstream that the ordering interface lists, running or not yet.
 *
 * @param token the token of the order that brought it, where the interface keeps tokens
 * @param pricePerHour what it costs an hour, in the platform's currency
 */
public record OrderedUpstream(
        UpstreamId id,
        ServiceName service,
        AvailabilityZone zone,
        boolean cheap,
        boolean running,
        Optional<OrderToken> token,
        double pricePerHour) {}
