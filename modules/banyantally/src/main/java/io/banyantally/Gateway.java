package io.banyantally;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.RequestDialect;
import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.HttpClientSettings;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.deployment.ConfigurationHolder;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.MemberEntry;
import io.banyantally.internal.deployment.MemberList;
import io.banyantally.internal.deployment.MemberPresence;
import io.banyantally.internal.deployment.PrefixListener;
import io.banyantally.internal.deployment.PrefixWatcher;
import io.banyantally.internal.deployment.ReplicaRegistry;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.duty.DutyLease;
import io.banyantally.internal.duty.FleetKeeper;
import io.banyantally.internal.duty.StageKeeper;
import io.banyantally.internal.duty.UsageLedger;
import io.banyantally.internal.duty.UsagePublisher;
import io.banyantally.internal.duty.UsageReporter;
import io.banyantally.internal.exchange.WorkExchange;
import io.banyantally.internal.forwarding.ForwardingServices;
import io.banyantally.internal.forwarding.GatewayServer;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.TcpPeerNetwork;
import io.banyantally.internal.placement.EnginePlacement;
import io.banyantally.internal.placement.LeastLoadedPlacement;
import io.banyantally.internal.placement.RetryAllowance;
import io.banyantally.internal.placement.UpstreamTracks;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.PeriodicTasks;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.time.WallClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.DutyHolder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One process of the gateway: it forwards callers' requests to upstreams by the operator's configuration, and takes its
 * turn at the duties.
 *
 * <pre>{@code
 * Gateway gateway = new GatewayBuilder().setSettings(settings).setPlatform(platform).create();
 * gateway.start();
 * gateway.drainAndStop();
 * }</pre>
 */
public final class Gateway {

    private static final EventLog LOG = EventLog.of(Gateway.class);

    /** Links between VMs and upstreams answer in milliseconds; a lost packet is better met by another upstream. */
    private static final HttpClientSettings UPSTREAM_CLIENT =
            new HttpClientSettings(Duration.ofMillis(400), Duration.ofMillis(1500), 32);

    /** Tells gateways from other daemons that speak the same protocol between VMs. */
    private static final String PEER_SITE = "gateway";

    /** For two attempts: a write to a store that answers takes some milliseconds, and 240 to one that is slow. */
    private static final Duration LAST_USAGE_TIME = Duration.ofMillis(600);

    /** Between the time limit of the last request that a shutdown takes and the end: its answer is on its way meanwhile. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(200);

    private static final Duration UPKEEP_INTERVAL = Duration.ofMillis(200);

    private final GatewaySettings settings;
    private final GatewayPlatform platform;
    private final MetricRegistry metrics = new MetricRegistry();
    private final StoreHealth health = new StoreHealth(MonotonicClock.SYSTEM);
    private final MemberList members = new MemberList();
    private final ConfigurationHolder configuration;
    private final ReplicaRegistry replicas;
    private final UpstreamTracks tracks = new UpstreamTracks(MonotonicClock.SYSTEM);
    private final UsageLedger usage;
    private final DutyLease duties;
    private final MemberPresence presence;
    private final UsagePublisher usagePublisher;
    private final AdapterHttpClient client;
    private final GatewayServer server;
    private final EnginePlacement engines = new EnginePlacement(new SplittableRandom());
    private final TcpPeerNetwork peers;
    private final WorkExchange exchange;
    private final PeriodicTasks tasks = new PeriodicTasks();
    private volatile boolean draining;

    Gateway(GatewaySettings settings, GatewayPlatform platform) {
        this.settings = settings;
        this.platform = platform;
        Incarnation incarnation = Incarnation.draw();
        String lifetime = incarnation.toString();
        WallClock wallClock = WallClock.system();
        DocumentReader documents = platform.documents();
        RequestDialect dialect = platform.dialect();
        configuration = new ConfigurationHolder(platform.keys().configuration(), documents);
        replicas = new ReplicaRegistry(documents, health, MonotonicClock.SYSTEM);
        usage = new UsageLedger(wallClock, settings.usageWindow());
        usagePublisher = new UsagePublisher(platform.store(), usage, health, settings.vm(), lifetime);
        duties = new DutyLease(
                platform.store(), members, health, wallClock, settings.vm(), lifetime, settings.dutyTimeToLive());
        MemberEntry own = new MemberEntry(settings.vm(), settings.zone(), settings.callersText(), settings.peersText());
        presence = new MemberPresence(platform.store(), own, health);
        peers = new TcpPeerNetwork(
                new Peer(settings.vm(), incarnation, settings.zone()),
                PEER_SITE,
                settings.peers(),
                MonotonicClock.SYSTEM);
        exchange = new WorkExchange(settings.vm(), peers, tracks, MonotonicClock.SYSTEM, metrics);
        client = AdapterHttpClient.start(UPSTREAM_CLIENT);
        LeastLoadedPlacement balanced = new LeastLoadedPlacement(new SplittableRandom());
        RetryAllowance retries = new RetryAllowance(
                MonotonicClock.SYSTEM,
                settings.retryLimit(),
                () -> members.members().size());
        ForwardingServices services = new ForwardingServices(
                configuration,
                replicas,
                tracks,
                engines,
                balanced,
                retries,
                dialect,
                client,
                usage,
                metrics,
                MonotonicClock.SYSTEM);
        server = new GatewayServer(settings.callers(), services, platform.handlers(this));
        configuration.observe(adopted -> server.apply(adopted.document().limits()));
        metrics.registerGauge("requests.open", server::openRequests);
    }

    /**
     * Starts all tasks and accepts connections.
     *
     * @throws StartFailedException if an address can't be listened at
     */
    public void start() throws StartFailedException {
        follow(platform.keys().configuration().path(), PrefixWatcher.SHORT_WATCH, configuration);
        follow(platform.keys().replicaPrefix(), PrefixWatcher.SHORT_WATCH, replicas);
        follow(GatewayStoreKeys.LIVE_PREFIX, PrefixWatcher.LONG_WATCH, members);
        try {
            peers.start();
            server.start();
        } catch (IOException failure) {
            throw new StartFailedException(failure.getMessage(), failure);
        }
        tasks.start("presence", MemberPresence.RENEWAL_INTERVAL, this::keepPresence);
        tasks.start("usage", () -> UsagePublisher.interval(members.members().size()), usagePublisher::publish);
        tasks.startWithJitter("duty-lease", DutyLease.INTERVAL, duties::refresh);
        tasks.start("work-exchange", WorkExchange.interval(), exchange::exchange);
        tasks.start("upkeep", UPKEEP_INTERVAL, this::upkeep);
        tasks.start("probe-callers", GatewayServer.probeInterval(), server::probeCallers);
        tasks.start("late-heads", GatewayServer.HEADER_CHECK_INTERVAL, server::closeSlowHeaderConnections);
        startDuties();
        LOG.info("started", EventField.of("vm", settings.vm()), EventField.of("callers", settings.callersText()));
    }

    private void follow(String prefix, Duration watchTime, PrefixListener listener) {
        PrefixWatcher follower =
                new PrefixWatcher(platform.store(), prefix, watchTime, listener, health, Sleeper.SYSTEM);
        tasks.startOnce("follow " + prefix, follower);
    }

    private void startDuties() {
        UsageReporter reporter =
                new UsageReporter(platform.store(), usage, platform.usage(), health, settings.usageDueTime());
        FleetKeeper fleet =
                new FleetKeeper(replicas, platform.replicaOrdering(), engines::refusedShare, MonotonicClock.SYSTEM);
        StageKeeper stages = new StageKeeper(replicas, platform.stageOrdering(), MonotonicClock.SYSTEM);
        tasks.start("usage-reports", UsageReporter.INTERVAL, () -> onDuty(reporter::run));
        tasks.start(
                "fleet",
                FleetKeeper.INTERVAL,
                () -> onDuty(holder -> withConfiguration(active -> fleet.run(holder, active))));
        tasks.start(
                "stages",
                StageKeeper.INTERVAL,
                () -> onDuty(holder -> withConfiguration(active -> stages.run(holder, active))));
    }

    private void onDuty(Step<DutyHolder> duty) {
        Optional<DutyHolder> holder = duties.held();
        if (holder.isPresent()) {
            run(duty, holder.get());
        }
    }

    private void withConfiguration(Step<ActiveConfiguration> step) {
        configuration.current().ifPresent(active -> run(step, active));
    }

    private static <T> void run(Step<T> step, T value) {
        try {
            step.run(value);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void keepPresence() {
        if (configuration.current().isPresent()) {
            presence.refresh();
        }
    }

    private void upkeep() {
        replicas.dropLapsed();
        tracks.retain(replicas.all());
        Map<VmId, InetSocketAddress> known = new HashMap<>();
        members.members().forEach(member -> known.put(member.vm(), address(member.peers())));
        peers.setKnownPeers(known);
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns whether this VM takes callers. */
    public boolean isReady() {
        return !draining && configuration.current().isPresent();
    }

    /** Returns where callers may connect, as {@code address:port}: all VMs that serve, this one included while it does. */
    public List<String> callerAddresses() {
        List<String> addresses = members.members().stream()
                .map(MemberEntry::callers)
                .filter(address -> !draining || !address.equals(settings.callersText()))
                .toList();
        return addresses.isEmpty() && isReady() ? List.of(settings.callersText()) : addresses;
    }

    /** Returns the counters and latency histograms. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /**
     * Shuts down gracefully: leaves the addresses first, takes requests that end before the process does until none is open,
     * and stops. Requests from before may run until shortly before the end of the grace period.
     *
     * @return false if requests still ran at the end of the grace period and were cut
     */
    public boolean drainAndStop() throws InterruptedException {
        long signalled = System.nanoTime();
        long lastAnswer = signalled + settings.lastAnswerTime().toNanos();
        long end = signalled + settings.stopTime().toNanos();
        draining = true;
        server.limitRequestDeadlines(lastAnswer - ANSWER_MARGIN.toNanos());
        LOG.info("draining", EventField.of("open_requests", server.openRequests()));
        // Both may wait for a store that does not answer; the times of the shutdown go on meanwhile.
        tasks.startOnce("withdraw-presence", presence::withdraw);
        tasks.startOnce("stop-duties", duties::stop);
        Thread.sleep(until(signalled + settings.addressLifetime().toNanos()));
        server.closeConnections();
        LOG.info("connections_closing", EventField.of("open_requests", server.openRequests()));
        Thread.sleep(until(signalled
                + settings.addressLifetime()
                        .plus(settings.connectionCloseTime())
                        .toNanos()));
        server.awaitRequests(until(lastAnswer));
        server.refuseRequests();
        // Another request may have begun since the last one ended.
        server.awaitRequests(until(lastAnswer));
        publishLastUsage();
        boolean empty = server.awaitRequests(until(end));
        LOG.info(
                "requests_awaited",
                EventField.of("open_requests", server.openRequests()),
                EventField.of("grace_left_ms", TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
        int cut = server.openRequests();
        close();
        LOG.info("stopped", EventField.of("requests_cut", cut));
        return empty;
    }

    private static Duration until(long moment) {
        return Duration.ofNanos(Math.max(0, moment - System.nanoTime()));
    }

    /** Stops at once; requests that still run are cut. */
    public void stop() {
        draining = true;
        server.refuseRequests();
        publishLastUsage();
        close();
    }

    private void close() {
        tasks.stop();
        server.stop();
        client.close();
        closePeers();
    }

    /** A store that does not answer must not hold the process past its grace period. */
    private void publishLastUsage() {
        try {
            if (!usagePublisher.close(LAST_USAGE_TIME)) {
                LOG.warn("last_usage_not_written", EventField.of("vm", settings.vm()));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void closePeers() {
        try {
            peers.close();
        } catch (IOException failure) {
            LOG.error("peers_not_closed", failure);
        }
    }

    /** A step that may wait. */
    @FunctionalInterface
    private interface Step<T> {
        void run(T value) throws InterruptedException;
    }
}
