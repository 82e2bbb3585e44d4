package io.banyantally.standins;

import java.io.IOException;

/** Answers the requests to a stand-in; each call runs in its own virtual thread. */
@FunctionalInterface
public interface StandInHandler {

    /** Answers one request through {@code exchange}. */
    void handle(StandInExchange exchange) throws IOException, InterruptedException;
}
