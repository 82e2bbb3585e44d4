package io.banyantally.internal.adapter;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/** The connections to one receiver, of which those that no call uses can be closed. */
final class ClosablePool extends DuplexConnectionPool {

    private final Set<Connection> idle = ConcurrentHashMap.newKeySet();

    ClosablePool(Destination destination, int maximumConnections) {
        super(destination, maximumConnections);
    }

    @Override
    public Connection acquire(boolean create) {
        Connection connection = super.acquire(create);
        if (connection != null) {
            idle.remove(connection);
        }
        return connection;
    }

    /** Keeps the connection for the next call, unless bytes follow the answer on it: that call would read them. */
    @Override
    public boolean release(Connection connection) {
        if (ResetAwareEndPoint.of(connection)
                .filter(ResetAwareEndPoint::hasMore)
                .isPresent()) {
            return false;
        }
        idle.add(connection);
        boolean kept = super.release(connection);
        if (!kept) {
            idle.remove(connection);
        }
        return kept;
    }

    @Override
    public boolean remove(Connection connection) {
        idle.remove(connection);
        return super.remove(connection);
    }

    void closeIdle() {
        List.copyOf(idle).forEach(Connection::close);
    }
}
