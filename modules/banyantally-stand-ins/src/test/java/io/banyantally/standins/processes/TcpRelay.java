package io.banyantally.standins.processes;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards TCP connections to a local port. While disconnected, it closes all connections, new ones included. */
final class TcpRelay implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean disconnected;

    TcpRelay(String target) throws IOException {
        int colon = target.lastIndexOf(':');
        this.target =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(target.substring(colon + 1)));
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().name("relay").start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void setDisconnected(boolean disconnect) {
        disconnected = disconnect;
        if (disconnect) {
            sockets.forEach(TcpRelay::closeQuietly);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket incoming = server.accept();
                if (disconnected) {
                    incoming.close();
                    continue;
                }
                Socket outgoing = new Socket();
                sockets.add(incoming);
                sockets.add(outgoing);
                outgoing.connect(target);
                Thread.ofVirtual().start(() -> copy(incoming, outgoing));
                Thread.ofVirtual().start(() -> copy(outgoing, incoming));
            } catch (IOException failure) {
                // The client sees the failed connection; the relay accepts further ones until it is closed.
            }
        }
    }

    private void copy(Socket from, Socket to) {
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
                output.write(buffer, 0, read);
                output.flush();
            }
        } catch (IOException connectionClosed) {
            // Both sides are closed below.
        } finally {
            closeQuietly(from);
            closeQuietly(to);
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to do for a socket that fails to close.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        sockets.forEach(TcpRelay::closeQuietly);
    }
}
