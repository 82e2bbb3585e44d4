package io.banyantally.internal.adapter;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Opens connections without TLS on which a reset is a failure. */
final class ResetAwareConnector extends ClientConnector {

    /** Reading the trusted certificates takes a tenth of a process's start, and every receiver speaks plain HTTP. */
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new UnusedTls();
    }

    @Override
    protected SelectorManager newSelectorManager() {
        return new ClientSelectorManager(getExecutor(), getScheduler(), getSelectors()) {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
    }

    /** A TLS context that is never loaded. */
    private static final class UnusedTls extends SslContextFactory.Client {

        @Override
        protected void doStart() {}
    }
}
