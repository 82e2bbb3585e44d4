package io.banyantally.internal.adapter;

import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Ignores all responses with status 100. The client never requests one. Jetty's own handler ignores only the first: it
 * takes the second for the final response, or never completes the request.
 */
final class UnsolicitedContinueHandler extends ProcessingProtocolHandler {

    @Override
    public String getName() {
        return ContinueProtocolHandler.NAME;
    }

    @Override
    public boolean accept(Request request, Response response) {
        return response.getStatus() == HttpStatus.CONTINUE_100;
    }
}
