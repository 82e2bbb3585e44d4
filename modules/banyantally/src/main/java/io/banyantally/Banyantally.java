package io.banyantally;

import io.banyantally.internal.wiring.EntryDaemon;
import java.net.InetSocketAddress;

/**
 * An entry daemon that runs in this process.
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
     * Starts all background tasks and accepts connections.
     *
     * @throws StartFailedException if the daemon cannot listen at one of its addresses
     */
    public void start() throws StartFailedException {
        daemon.start();
    }

    /** Returns the address and port for callers and operators; valid after {@link #start}. */
    public InetSocketAddress callersAddress() {
        return daemon.callersAddress();
    }

    /** Returns the address and port for other entry VMs; valid after {@link #start}. */
    public InetSocketAddress peersAddress() {
        return daemon.peersAddress();
    }

    /**
     * Shuts down gracefully: removes this VM from the callers' addresses, accepts requests until cached addresses have
     * expired, finishes running requests, releases the scopes that this VM owns, and stops.
     *
     * @return false if requests were still running at the configured drain limit and were aborted
     */
    public boolean drainAndStop() throws InterruptedException {
        return daemon.drainAndStop();
    }
}
