package io.banyantally.internal.routing;

import io.banyantally.model.ServiceName;

/** No upstream may get the request now, so this attempt was not sent to any. */
public final class NoUpstreamException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception for a service. */
    public NoUpstreamException(ServiceName service, String reason) {
        super("service " + service + " has no upstream for this request: " + reason);
    }
}
