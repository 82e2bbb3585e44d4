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

/** Forwards connections to an address, and can be cut: then it closes all connections and accepts none. */
final class TcpRelay implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

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

    void setCut(boolean newCut) {
        cut = newCut;
        if (newCut) {
            sockets.forEach(TcpRelay::closeQuietly);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket incoming = server.accept();
                if (cut) {
                    incoming.close();
                    continue;
                }
                Socket outgoing = new Socket();
                sockets.add(incoming);
                sockets.add(outgoing);
                outgoing.connect(target);
                Thread.ofVirtual().start(() -> copy(incoming, outgoing));
                Thread.ofVirtual().start(() -> copy(outgoing, incoming));
            } catch (IOException closed) {
                // The caller of a refused connection sees it; the relay goes on unless it was closed.
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
        } catch (IOException ended) {
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
            // A socket that can't be closed is already gone.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        sockets.forEach(TcpRelay::closeQuietly);
    }
}
