package io.banyantally.internal.routing;

import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.util.Optional;
import java.util.Set;

/**
 * A request for a route.
 *
 * @param model the model of a generation; empty for a call to a plain service
 * @param prompt the prompt, whose prefix an engine may have in its cache; empty for a plain service
 * @param excluded upstreams that have failed this request already
 */
public record RoutingRequest(
        ServiceName service, Optional<ModelName> model, String prompt, WorkEstimate work, Set<UpstreamId> excluded) {

    /** Copies the set. */
    public RoutingRequest {
        excluded = Set.copyOf(excluded);
    }
}
