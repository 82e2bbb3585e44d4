package io.banyantally.internal.adapter;

import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.SendPermission;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * One HTTP call of an adapter.
 *
 * @param target the path with its query, as it goes on the wire
 * @param ownConnection whether a connection is opened for this call alone; needed for calls that may not be repeated,
 *     because a pooled connection may be stale
 * @param timeLimit the longest duration of the whole call; for a stream, the longest silence
 * @param permission asked on a call with its own connection when that connection is open and nothing was sent
 */
public record HttpCall(
        InetSocketAddress address,
        String method,
        String target,
        List<HeaderField> headers,
        byte[] body,
        boolean ownConnection,
        Duration timeLimit,
        SendPermission permission) {

    private static final SendPermission ALWAYS = () -> true;
    private static final List<HeaderField> JSON = List.of(new HeaderField("Content-Type", "application/json"));

    /** A call that may be repeated, on a pooled connection. */
    public static HttpCall read(InetSocketAddress address, String target, Duration timeLimit) {
        return new HttpCall(address, "GET", target, List.of(), new byte[0], false, timeLimit, ALWAYS);
    }

    /** A call on a pooled connection with a JSON body. */
    public static HttpCall query(InetSocketAddress address, String target, Object body, Duration timeLimit) {
        return new HttpCall(address, "POST", target, JSON, WireFormat.encode(body), false, timeLimit, ALWAYS);
    }

    /** A call with a JSON body that has an effect, on a connection of its own. */
    static HttpCall write(InetSocketAddress address, String target, Object body, Duration timeLimit) {
        return new HttpCall(address, "POST", target, JSON, WireFormat.encode(body), true, timeLimit, ALWAYS);
    }

    /** Returns the same call with further headers. */
    public HttpCall withHeaders(List<HeaderField> further) {
        List<HeaderField> all = new ArrayList<>(headers);
        all.addAll(further);
        return new HttpCall(address, method, target, List.copyOf(all), body, ownConnection, timeLimit, permission);
    }

    /** Returns the same call, sent only if the permission is granted once the connection is open. */
    public HttpCall withPermission(SendPermission sendPermission) {
        return new HttpCall(address, method, target, headers, body, true, timeLimit, sendPermission);
    }

    @Override
    public String toString() {
        return method + " " + target + " at " + address;
    }
}
