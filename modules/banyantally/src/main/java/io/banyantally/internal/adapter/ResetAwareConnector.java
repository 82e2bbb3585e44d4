package io.banyantally.internal.adapter;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;

/** Opens connections on which a reset is a failure. */
final class ResetAwareConnector extends ClientConnector {

    @Override
    protected SelectorManager newSelectorManager() {
        return new ClientSelectorManager(getExecutor(), getScheduler(), getSelectors()) {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
    }
}
