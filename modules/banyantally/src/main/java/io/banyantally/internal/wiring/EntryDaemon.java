package io.banyantally.internal.wiring;

import io.banyantally.StartFailedException;
import io.banyantally.internal.configuration.ConfigurationPart;
import io.banyantally.internal.http.EntryServer;
import io.banyantally.internal.http.ServerException;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.membership.DirectorySynchronizer;
import io.banyantally.internal.membership.Membership;
import io.banyantally.internal.membership.PeerSelection;
import io.banyantally.internal.net.SocketAddresses;
import io.banyantally.internal.operator.OperatorHandler;
import io.banyantally.internal.peer.TcpPeerNetwork;
import io.banyantally.internal.routing.DirectoryCatalogue;
import io.banyantally.internal.routing.UpstreamGate;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;

/** Starts the components of an entry daemon in dependency order, and shuts them down gracefully. */
@Singleton
public final class EntryDaemon {

    private static final EventLog LOG = EventLog.of(EntryDaemon.class);

    private final EntrySettings settings;
    private final TcpPeerNetwork network;
    private final Membership membership;
    private final DirectorySynchronizer directory;
    private final DirectoryCatalogue catalogue;
    private final UpstreamGate gate;
    private final ConfigurationPart configuration;
    private final EntryServer server;
    private final BackgroundTasks background;
    private final PeerSelection peers;
    private final Timeline timeline;

    @Inject
    EntryDaemon(
            EntrySettings settings,
            TcpPeerNetwork network,
            Membership membership,
            DirectorySynchronizer directory,
            DirectoryCatalogue catalogue,
            ConfigurationPart configuration,
            EntryServer server,
            BackgroundTasks background,
            PeerSelection peers,
            UpstreamGate gate,
            StatusSections sections,
            OperatorHandler operators,
            Timeline timeline) {
        sections.register(operators);
        this.settings = settings;
        this.network = network;
        this.membership = membership;
        this.directory = directory;
        this.gate = gate;
        this.catalogue = catalogue;
        this.configuration = configuration;
        this.server = server;
        this.background = background;
        this.peers = peers;
        this.timeline = timeline;
    }

    /**
     * Starts all components; callers can connect once it returns.
     *
     * @throws StartFailedException if the daemon cannot listen at its addresses
     */
    public void start() throws StartFailedException {
        try {
            network.start();
            server.start();
        } catch (IOException failure) {
            throw new StartFailedException("cannot listen for peers at " + settings.peers(), failure);
        } catch (ServerException failure) {
            throw new StartFailedException(failure.getMessage(), failure);
        }
        timeline.record(
                EventKind.VM_STARTED,
                EventField.of("zone", settings.zone()),
                EventField.of("callers", SocketAddresses.text(server.address())));
        peers.useSeeds();
        directory.addListener(peers::update);
        directory.addListener(catalogue::update);
        directory.addListener(gate::update);
        directory.start();
        membership.start(server.address());
        configuration.start();
        background.start();
    }

    /** Returns the address and port for callers. */
    public InetSocketAddress callersAddress() {
        return server.address();
    }

    /** Returns the address and port for peers. */
    public InetSocketAddress peersAddress() {
        return new InetSocketAddress(settings.peers().getAddress(), network.port());
    }

    /**
     * Removes this VM from the callers' addresses, continues to serve until cached addresses have expired, finishes
     * running requests, then stops.
     *
     * @return false if requests were still running at the drain limit
     */
    public boolean drainAndStop() throws InterruptedException {
        timeline.record(EventKind.VM_DRAINING);
        membership.startDraining();
        Thread.sleep(Duration.ofMillis(settings.addressTimeToLiveMillis()).plus(Membership.MAXIMUM_PROPAGATION_TIME));
        boolean finished = server.inFlight().closeAndAwaitEmpty(Duration.ofSeconds(settings.drainLimitSeconds()));
        boolean released = background.releaseScopes();
        background.stop();
        configuration.stop();
        directory.stop();
        timeline.record(EventKind.VM_STOPPED, EventField.of("finished", finished), EventField.of("released", released));
        membership.stop();
        stopServers();
        return finished;
    }

    private void stopServers() {
        try {
            server.stop();
            network.close();
        } catch (ServerException | IOException failure) {
            LOG.error("stop_failed", failure);
        }
    }
}
