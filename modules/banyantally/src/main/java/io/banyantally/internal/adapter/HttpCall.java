package io.banyantally.internal.adapter;

import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.SendPermission;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * An HTTP request of an adapter.
 *
 * @param target the path and query, already encoded
 * @param ownConnection whether a new connection is opened for this request alone; needed for requests that are not
 *     idempotent, because a pooled connection may be stale
 * @param timeLimit the longest duration of the request and its response; for a stream, the longest time without data
 * @param permission checked after connecting and before anything is sent
 * @param responseCheck rejects a response that belongs to another request; the connection is then closed
 */
public record HttpCall(
        InetSocketAddress address,
        String method,
        String target,
        List<HeaderField> headers,
        byte[] body,
        boolean ownConnection,
        Duration timeLimit,
        SendPermission permission,
        ResponseCheck responseCheck) {

    private static final SendPermission ALWAYS = () -> true;
    private static final List<HeaderField> JSON = List.of(new HeaderField("Content-Type", "application/json"));

    /** Creates a request that takes every response. */
    public HttpCall(
            InetSocketAddress address,
            String method,
            String target,
            List<HeaderField> headers,
            byte[] body,
            boolean ownConnection,
            Duration timeLimit,
            SendPermission permission) {
        this(address, method, target, headers, body, ownConnection, timeLimit, permission, ResponseCheck.NONE);
    }

    /** Creates an idempotent GET request on a pooled connection. */
    public static HttpCall read(InetSocketAddress address, String target, Duration timeLimit) {
        return new HttpCall(address, "GET", target, List.of(), new byte[0], false, timeLimit, ALWAYS);
    }

    /** Creates a POST request with a JSON body on a pooled connection. */
    public static HttpCall query(InetSocketAddress address, String target, Object body, Duration timeLimit) {
        return new HttpCall(address, "POST", target, JSON, WireFormat.encode(body), false, timeLimit, ALWAYS);
    }

    /** Creates a POST request with a JSON body that has side effects, on its own connection. */
    static HttpCall write(InetSocketAddress address, String target, Object body, Duration timeLimit) {
        return new HttpCall(address, "POST", target, JSON, WireFormat.encode(body), true, timeLimit, ALWAYS);
    }

    /** Returns a copy of this request with additional headers. */
    public HttpCall withHeaders(List<HeaderField> additional) {
        List<HeaderField> all = new ArrayList<>(headers);
        all.addAll(additional);
        return new HttpCall(
                address, method, target, List.copyOf(all), body, ownConnection, timeLimit, permission, responseCheck);
    }

    /** Returns a copy on its own connection that is sent only if the permission is granted after connecting. */
    public HttpCall withPermission(SendPermission sendPermission) {
        return new HttpCall(address, method, target, headers, body, true, timeLimit, sendPermission, responseCheck);
    }

    /** Returns whether the request may be sent only with a permission. */
    boolean needsPermission() {
        return permission != ALWAYS;
    }

    @Override
    public String toString() {
        return method + " " + target + " at " + address;
    }
}
