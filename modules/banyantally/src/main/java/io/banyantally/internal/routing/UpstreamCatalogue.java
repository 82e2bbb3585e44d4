package io.banyantally.internal.routing;

import io.banyantally.model.ServiceName;
import java.util.List;

/** Lists the upstreams that this VM knows of. */
@FunctionalInterface
public interface UpstreamCatalogue {

    /** Returns the upstreams of a service, including leaving ones; an empty list for an unknown service. */
    List<KnownUpstream> upstreams(ServiceName service);
}
