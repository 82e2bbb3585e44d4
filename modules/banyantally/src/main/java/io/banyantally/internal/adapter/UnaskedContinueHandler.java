package io.banyantally.internal.adapter;

import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Passes over every answer 100. No call here asks for one, and the HTTP library's own handler passes over the first only: it
 * takes the second for the final answer, or never ends the call.
 */
final class UnaskedContinueHandler extends ProcessingProtocolHandler {

    @Override
    public String getName() {
        return ContinueProtocolHandler.NAME;
    }

    @Override
    public boolean accept(Request request, Response response) {
        return response.getStatus() == HttpStatus.CONTINUE_100;
    }
}
