package io.banyantally.internal.forwarding;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** Accepts connections as {@link ProbingEndPoint}s. */
final class ProbingConnector extends ServerConnector {

    ProbingConnector(Server server, HttpConnectionFactory factory) {
        super(server, 1, 1, factory);
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        ProbingEndPoint endPoint = new ProbingEndPoint(channel, selector, key, getScheduler());
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }
}
