package io.banyantally.internal.adapter;

import org.eclipse.jetty.client.Connection;

/**
 * A connection on which one thread sends requests one after the other, and nobody else does. Neither a request nor its
 * repetition is sent on another connection.
 */
public final class OwnConnection implements AutoCloseable {

    private final AdapterHttpClient client;
    private final Connection connection;

    OwnConnection(AdapterHttpClient client, Connection connection) {
        this.client = client;
        this.connection = connection;
    }

    /**
     * Sends a request and waits for the complete response, whose body has at most {@code maximumBytes}.
     *
     * @throws NothingSentException if the request was not sent, also because the server has closed the connection
     */
    public HttpReply send(HttpCall call, int maximumBytes) throws ExchangeException, InterruptedException {
        if (connection.isClosed()
                || ResetAwareEndPoint.of(connection)
                        .filter(ResetAwareEndPoint::hasUnexpectedInput)
                        .isPresent()) {
            throw new NothingSentException(call + " was not sent: the connection has ended");
        }
        return client.send(call, connection, maximumBytes);
    }

    @Override
    public void close() {
        connection.close();
        ResetAwareEndPoint.of(connection).ifPresent(ResetAwareEndPoint::awaitReset);
    }
}
