package io.banyantally.internal.routing;

/** A request's way to one upstream. What happens on it is told here, for later choices. */
public interface Route extends AutoCloseable {

    /** Returns the chosen upstream. */
    KnownUpstream upstream();

    /** Tells that an output token has come. */
    void tokenReceived();

    /** Tells that the upstream failed the request. */
    void failed();

    @Override
    void close();
}
