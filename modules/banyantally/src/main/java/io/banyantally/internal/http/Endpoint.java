package io.banyantally.internal.http;

import java.io.IOException;

/** Handles the requests for one path. */
@FunctionalInterface
interface Endpoint {

    /** Handles a request and sends the response, or throws the typed error to send. */
    void handle(HttpExchange exchange) throws RequestFailedException, IOException, InterruptedException;
}
