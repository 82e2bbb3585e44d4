package io.banyantally.internal.routing;

import io.banyantally.model.ServiceName;

/** No upstream may get a request. It did not run. */
public final class NoUpstreamException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the refusal for a service. */
    public NoUpstreamException(ServiceName service, String why) {
        super("service " + service + " has no upstream for this request: " + why);
    }
}
