package io.banyantally.internal.forwarding;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Answers requests that the HTTP library rejects itself with a status and no body. */
final class PlainErrorHandler implements Request.Handler {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 0);
        response.write(true, null, callback);
        return true;
    }
}
