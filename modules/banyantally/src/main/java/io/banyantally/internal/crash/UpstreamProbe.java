package io.banyantally.internal.crash;

import io.banyantally.deployment.ReplicaEntry;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.time.Duration;

/** Finds out whether an upstream that broke off an answer has ended. */
@FunctionalInterface
interface UpstreamProbe {

    /** A connection takes some milliseconds, or a packet is lost. */
    Duration TIMEOUT = Duration.ofMillis(300);

    /** Returns whether the upstream has ended; false if that is not known. */
    boolean hasEnded(ReplicaEntry upstream);

    /** Returns whether the upstream refuses connections. An address that does not answer may have been cut off. */
    static boolean refusesConnections(ReplicaEntry upstream) {
        try (Socket socket = new Socket()) {
            socket.connect(upstream.address(), Math.toIntExact(TIMEOUT.toMillis()));
            return false;
        } catch (ConnectException refused) {
            return true;
        } catch (IOException unknown) {
            return false;
        }
    }
}
