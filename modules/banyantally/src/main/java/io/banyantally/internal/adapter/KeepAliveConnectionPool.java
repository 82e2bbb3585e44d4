package io.banyantally.internal.adapter;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * The connection pool of one server. It respects the idle timeout that the server announces in its Keep-Alive header,
 * discards connections with unexpected input, and can close its idle connections.
 */
final class KeepAliveConnectionPool extends DuplexConnectionPool {

    /**
     * Covers the one-way network delay (some 1.5 ms between zones), since the server starts its idle timer when it
     * sends the response, and pauses of the process.
     */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(200);

    /** The timeout parameter of a Keep-Alive header, in whole seconds; nine digits fit in an int. */
    private static final Pattern KEEP_ALIVE_TIMEOUT =
            Pattern.compile("(?:^|[,;\\s])timeout\\s*=\\s*\"?(\\d{1,9})\\b", Pattern.CASE_INSENSITIVE);

    private final Set<Connection> idle = ConcurrentHashMap.newKeySet();

    /** Until when a pooled connection may be used, as a value of {@link System#nanoTime}. */
    private final Map<Connection, Long> usableUntil = new ConcurrentHashMap<>();

    KeepAliveConnectionPool(Destination destination, int maximumConnections) {
        super(destination, maximumConnections);
    }

    @Override
    public Connection acquire(boolean create) {
        Connection connection = super.acquire(create);
        while (connection != null && (isExpired(connection) || hasUnexpectedInput(connection))) {
            // Removed before it is closed: when a pooled connection closes, the destination processes its queued
            // requests again.
            remove(connection);
            connection.close();
            connection = super.acquire(create);
        }
        if (connection != null) {
            idle.remove(connection);
        }
        return connection;
    }

    private boolean isExpired(Connection connection) {
        Long until = usableUntil.get(connection);
        return until != null && System.nanoTime() - until >= 0;
    }

    /** Records the idle timeout that a complete response announces in its Keep-Alive header, if it has one. */
    void recordKeepAlive(Connection connection, HttpFields headers) {
        String keepAlive = headers.get(HttpHeader.KEEP_ALIVE);
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
        if (!timeout.find()) {
            usableUntil.remove(connection);
            return;
        }
        Duration remaining =
                Duration.ofSeconds(Integer.parseInt(timeout.group(1))).minus(KEEP_ALIVE_MARGIN);
        usableUntil.put(connection, System.nanoTime() + remaining.toNanos());
        if (connection.isClosed()) {
            usableUntil.remove(connection);
        }
    }

    /**
     * Returns whether input or an end of stream follows the last response; the next request would read it as its
     * response.
     */
    private static boolean hasUnexpectedInput(Connection connection) {
        return ResetAwareEndPoint.of(connection)
                .filter(ResetAwareEndPoint::hasUnexpectedInput)
                .isPresent();
    }

    @Override
    public boolean release(Connection connection) {
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
        usableUntil.remove(connection);
        return super.remove(connection);
    }

    void closeIdle() {
        List.copyOf(idle).forEach(Connection::close);
    }
}
