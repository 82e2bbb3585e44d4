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

/** The connections to one receiver, of which those that no call uses can be closed. */
final class ClosablePool extends DuplexConnectionPool {

    /** Covers the one-way delay by which the receiver's clock starts earlier (some 1.5 ms between zones) and pauses. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(200);

    /** The parameter of Keep-Alive in whole seconds; nine digits fit in an int. */
    private static final Pattern STATED_SECONDS =
            Pattern.compile("(?:^|[,;\\s])timeout\\s*=\\s*\"?(\\d{1,9})\\b", Pattern.CASE_INSENSITIVE);

    private final Set<Connection> idle = ConcurrentHashMap.newKeySet();

    /** Until when a connection may be used again, in nanoseconds of the monotonic clock. */
    private final Map<Connection, Long> usableUntil = new ConcurrentHashMap<>();

    ClosablePool(Destination destination, int maximumConnections) {
        super(destination, maximumConnections);
    }

    @Override
    public Connection acquire(boolean create) {
        Connection connection = super.acquire(create);
        while (connection != null && (isPastIdleTime(connection) || hasMore(connection))) {
            // Removed first: the destination begins queued calls anew for each pooled connection that closes.
            remove(connection);
            connection.close();
            connection = super.acquire(create);
        }
        if (connection != null) {
            idle.remove(connection);
        }
        return connection;
    }

    private boolean isPastIdleTime(Connection connection) {
        Long until = usableUntil.get(connection);
        return until != null && System.nanoTime() - until >= 0;
    }

    /** Notes how long the receiver keeps a connection whose answer has ended, if the answer's Keep-Alive states it. */
    void noteIdleTime(Connection connection, HttpFields answer) {
        String keepAlive = answer.get(HttpHeader.KEEP_ALIVE);
        Matcher stated = STATED_SECONDS.matcher(keepAlive == null ? "" : keepAlive);
        if (!stated.find()) {
            usableUntil.remove(connection);
            return;
        }
        Duration time = Duration.ofSeconds(Integer.parseInt(stated.group(1))).minus(IDLE_MARGIN);
        usableUntil.put(connection, System.nanoTime() + time.toNanos());
        if (connection.isClosed()) {
            usableUntil.remove(connection);
        }
    }

    /** Returns whether bytes follow the last answer on a connection, or its end: the next call would read them. */
    private static boolean hasMore(Connection connection) {
        return ResetAwareEndPoint.of(connection)
                .filter(ResetAwareEndPoint::hasMore)
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
