package io.banyantally.internal.routing;

import io.banyantally.model.ServiceName;
import java.util.List;

/** The upstreams that this VM knows of. */
@FunctionalInterface
public interface UpstreamCatalogue {

    /** Returns the upstreams of a service, leaving ones too. */
    List<KnownUpstream> upstreams(ServiceName service);
}
