package io.banyantally.internal.http;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Gives errors that the HTTP library finds itself, such as oversized headers, the same JSON form as all others. */
final class JsonErrorHandler implements Request.Handler {

    private static final int HEADERS_TOO_LARGE = 431;

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        int status = response.getStatus();
        ErrorType type = status == HEADERS_TOO_LARGE
                ? ErrorType.HEADERS_TOO_LARGE
                : status >= 500 ? ErrorType.INTERNAL_ERROR : ErrorType.INVALID_REQUEST;
        RequestRefusedException refusal = type == ErrorType.INTERNAL_ERROR
                ? RequestRefusedException.mayHaveRun(type, "the request failed with status " + status)
                : RequestRefusedException.notRun(type, "the request was refused with status " + status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        byte[] body = HttpExchange.toBytes(ErrorBody.of(refusal));
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, java.nio.ByteBuffer.wrap(body), callback);
        return true;
    }
}
