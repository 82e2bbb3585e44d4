package io.banyantally.internal.http;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Sends errors detected by the HTTP library, such as oversized headers, in the same JSON format as all other errors.
 */
final class JsonErrorHandler implements Request.Handler {

    private static final int HEADERS_TOO_LARGE = 431;

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        int status = response.getStatus();
        ErrorType type = status == HEADERS_TOO_LARGE
                ? ErrorType.HEADERS_TOO_LARGE
                : status >= 500 ? ErrorType.INTERNAL_ERROR : ErrorType.INVALID_REQUEST;
        RequestFailedException failure = type == ErrorType.INTERNAL_ERROR
                ? RequestFailedException.mayHaveRun(type, "the request failed with status " + status)
                : RequestFailedException.notRun(type, "the request was refused with status " + status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        byte[] body = HttpExchange.toBytes(ErrorBody.of(failure));
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, java.nio.ByteBuffer.wrap(body), callback);
        return true;
    }
}
