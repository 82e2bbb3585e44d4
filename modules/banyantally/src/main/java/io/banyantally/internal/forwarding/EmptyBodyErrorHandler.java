package io.banyantally.internal.forwarding;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Responds to requests that Jetty itself rejects, with a status and no body. */
final class EmptyBodyErrorHandler implements Request.Handler {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 0);
        response.write(true, null, callback);
        return true;
    }
}
