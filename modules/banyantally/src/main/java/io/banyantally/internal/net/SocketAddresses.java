package io.banyantally.internal.net;

import java.net.InetSocketAddress;

/** Formats socket addresses. */
public final class SocketAddresses {

    private SocketAddresses() {}

    /** Returns a resolved address as {@code address:port}. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
