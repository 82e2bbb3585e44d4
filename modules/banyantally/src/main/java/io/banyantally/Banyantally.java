package io.banyantally;

import io.banyantally.internal.wiring.EntryDaemon;
import java.net.InetSocketAddress;

/**
 * One entry daemon of banyantally inside this process.
 *
 * <pre>{@code
 * Banyantally entry = new BanyantallyBuilder().setSettings(settings).create();
 * entry.start();
 * // callers connect at entry.callersAddress()
 * entry.drainAndStop();
 * }</pre>
 */
public final class Banyantally {

    private final EntryDaemon daemon;

    Banyantally(EntryDaemon daemon) {
        this.daemon = daemon;
    }

    /**
     * Starts all tasks and accepts connections.
     *
     * @throws StartFailedException if an address can't be listened at
     */
    public void start() throws StartFailedException {
        daemon.start();
    }

    /** Returns where callers and operators connect; valid after {@link #start}. */
    public InetSocketAddress callersAddress() {
        return daemon.callersAddress();
    }

    /** Returns where other entry VMs connect; valid after {@link #start}. */
    public InetSocketAddress peersAddress() {
        return daemon.peersAddress();
    }

    /**
     * Shuts down gracefully: leaves the addresses first, accepts until callers' copies of them have run out, finishes every
     * request, hands over what this VM owns, and stops.
     *
     * @return false if requests still ran at the settings' drain limit and were cut
     */
    public boolean drainAndStop() throws InterruptedException {
        return daemon.drainAndStop();
    }
}
