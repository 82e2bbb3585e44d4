package io.banyantally.internal.adapter;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Opens connections without TLS that report a reset as a failure. */
final class ResetAwareConnector extends ClientConnector {

    /** Avoids loading the trusted certificates, a tenth of the startup time; all servers use plain HTTP. */
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

    /** A TLS context factory that loads nothing. */
    private static final class UnusedTls extends SslContextFactory.Client {

        @Override
        protected void doStart() {}
    }
}
