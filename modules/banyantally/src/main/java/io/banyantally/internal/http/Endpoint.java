package io.banyantally.internal.http;

import java.io.IOException;

/** Answers the requests of one path. */
@FunctionalInterface
interface Endpoint {

    /** Answers a request, or ends it with a typed error. */
    void handle(HttpExchange exchange) throws RequestRefusedException, IOException, InterruptedException;
}
