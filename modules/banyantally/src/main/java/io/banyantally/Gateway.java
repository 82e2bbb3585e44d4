package io.banyantally;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.RequestDialect;
import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.HttpClientSettings;
import io.banyantally.internal.crash.CrashLedger;
import io.banyantally.internal.crash.CrashReporter;
import io.banyantally.internal.crash.CrashStoreKeys;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.deployment.CallerAddresses;
import io.banyantally.internal.deployment.ConfigurationHolder;
import io.banyantally.internal.deployment.EraCheckedStore;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.MemberEntry;
import io.banyantally.internal.deployment.MemberList;
import io.banyantally.internal.deployment.MemberPresence;
import io.banyantally.internal.deployment.PrefixListener;
import io.banyantally.internal.deployment.PrefixWatcher;
import io.banyantally.internal.deployment.ReplicaRegistry;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.duty.DutyLease;
import io.banyantally.internal.duty.DutyTimes;
import io.banyantally.internal.duty.FleetReconciler;
import io.banyantally.internal.duty.ReportedWindows;
import io.banyantally.internal.duty.StageReconciler;
import io.banyantally.internal.duty.UsageLedger;
import io.banyantally.internal.duty.UsagePublisher;
import io.banyantally.internal.duty.UsageReporter;
import io.banyantally.internal.exchange.BatchedStore;
import io.banyantally.internal.exchange.ConfigurationExchange;
import io.banyantally.internal.exchange.LimitFleet;
import io.banyantally.internal.exchange.ListedPeers;
import io.banyantally.internal.exchange.RelayedStore;
import io.banyantally.internal.exchange.WorkExchange;
import io.banyantally.internal.exchange.ZoneDelegates;
import io.banyantally.internal.forwarding.BufferMemory;
import io.banyantally.internal.forwarding.ForwardingServices;
import io.banyantally.internal.forwarding.GatewayServer;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.TcpPeerNetwork;
import io.banyantally.internal.placement.AccountLimits;
import io.banyantally.internal.placement.EnginePlacement;
import io.banyantally.internal.placement.EngineRates;
import io.banyantally.internal.placement.EngineZones;
import io.banyantally.internal.placement.LeastLoadedPlacement;
import io.banyantally.internal.placement.NominalRates;
import io.banyantally.internal.placement.RetryAllowance;
import io.banyantally.internal.placement.UpstreamLimits;
import io.banyantally.internal.placement.UpstreamNotices;
import io.banyantally.internal.placement.UpstreamTracks;
import io.banyantally.internal.placement.ZoneCost;
import io.banyantally.internal.placement.ZoneSpill;
import io.banyantally.internal.streams.DefaultVersionKeeper;
import io.banyantally.internal.streams.DefaultVersions;
import io.banyantally.internal.streams.StreamRecordSweeper;
import io.banyantally.internal.streams.StreamStoreKeys;
import io.banyantally.internal.streams.StreamVersions;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.PeriodicTasks;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.time.WallClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.Incarnation;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.StoreEra;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A gateway process. It forwards callers' requests to upstreams according to the operator's configuration. While it
 * holds the duty lease, it also executes the duties: it reports usage and orders upstreams and engine stages.
 *
 * <pre>{@code
 * Gateway gateway = new GatewayBuilder().setSettings(settings).setPlatform(platform).create();
 * gateway.start();
 * gateway.drainAndStop();
 * }</pre>
 */
public final class Gateway {

    private static final EventLog LOG = EventLog.of(Gateway.class);

    /** Bodies of requests and responses take at most one in this many parts of the heap each. */
    private static final int BUFFER_HEAP_PARTS = 4;

    /** Upstreams accept connections within milliseconds; after a lost packet it is faster to try another upstream. */
    private static final HttpClientSettings UPSTREAM_CLIENT_SETTINGS =
            new HttpClientSettings(Duration.ofMillis(400), Duration.ofMillis(1500), 32);

    /** Keeps gateways separate from other daemons that use the same peer protocol. */
    private static final String PEER_SITE = "gateway";

    /** Time for two attempts: a write usually takes some milliseconds, and 240 ms if the store is slow. */
    private static final Duration LAST_USAGE_TIMEOUT = Duration.ofMillis(600);

    /**
     * Between the time limit of the last requests of a shutdown and the deadline of their responses; covers the
     * transfer.
     */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(200);

    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(200);

    private final GatewaySettings settings;
    private final GatewayPlatform platform;
    private final MetricRegistry metrics = new MetricRegistry();
    private final StoreHealth health = new StoreHealth(MonotonicClock.SYSTEM);
    private final MemberList members = new MemberList();
    private final ConfigurationHolder configuration;
    private final ReplicaRegistry replicas;
    private final UpstreamTracks tracks = new UpstreamTracks(MonotonicClock.SYSTEM);
    private final EraCheckedStore store;
    private final UsageLedger usage;
    private final ReportedWindows reportedWindows = new ReportedWindows();
    private final DutyLease duties;
    private final MemberPresence presence;
    private final UsagePublisher usagePublisher;
    private final AdapterHttpClient client;
    private final GatewayServer server;
    private final EnginePlacement engines;
    private final TcpPeerNetwork peers;
    private final ListedPeers listedPeers;
    private final ConfigurationExchange configurations;
    private final WorkExchange exchange;
    private final UpstreamLimits limits;
    private final RelayedStore watchedStore;
    private final CrashLedger crashes = new CrashLedger(MonotonicClock.SYSTEM);
    private final CrashReporter crashReporter;
    private final DefaultVersions defaultVersions = new DefaultVersions(MonotonicClock.SYSTEM);
    private final StreamVersions streamVersions;
    private final PeriodicTasks tasks = new PeriodicTasks();
    private volatile boolean draining;

    Gateway(GatewaySettings settings, GatewayPlatform platform) {
        this.settings = settings;
        this.platform = platform;
        Incarnation incarnation = Incarnation.draw();
        String incarnationText = incarnation.toString();
        WallClock wallClock = WallClock.system();
        DocumentReader documents = platform.documents();
        RequestDialect dialect = platform.dialect();
        store = new EraCheckedStore(platform.store(), MonotonicClock.SYSTEM);
        configuration = new ConfigurationHolder(platform.keys().configuration(), documents);
        replicas = new ReplicaRegistry(documents, health, MonotonicClock.SYSTEM);
        usage = new UsageLedger(wallClock, settings.usageWindow());
        duties = new DutyLease(
                store,
                members,
                health,
                wallClock,
                settings.vm(),
                incarnationText,
                DutyTimes.withoutTurnsWithin(settings.dutyTurnTime()));
        MemberEntry own = new MemberEntry(settings.vm(), settings.zone(), settings.callersText(), settings.peersText());
        presence = new MemberPresence(store, this::storeEra, own, health);
        Peer self = new Peer(settings.vm(), incarnation, settings.zone());
        peers = new TcpPeerNetwork(self, PEER_SITE, settings.peers(), MonotonicClock.SYSTEM);
        usagePublisher = new UsagePublisher(
                new BatchedStore(store, self, peers, MonotonicClock.SYSTEM, Sleeper.SYSTEM, metrics),
                this::storeEra,
                usage,
                health,
                MonotonicClock.SYSTEM,
                settings.vm(),
                incarnationText);
        LimitFleet limitFleet = new LimitFleet(
                () -> members.members().stream().map(MemberEntry::vm).toList(), MonotonicClock.SYSTEM);
        limits = new UpstreamLimits(limitFleet::sharers, MonotonicClock.SYSTEM, new Random(), metrics);
        AccountLimits accountLimits = new AccountLimits(
                settings.accountLimits(), limitFleet::sharers, MonotonicClock.SYSTEM, new Random(), metrics);
        listedPeers = new ListedPeers(settings.vm(), members, store, peers);
        configurations = new ConfigurationExchange(
                configuration, peers, listedPeers, MonotonicClock.SYSTEM, Sleeper.SYSTEM, metrics);
        ZoneCost zoneCost = new ZoneCost(settings.zone(), settings.zoneMegabyteMillis());
        engines = new EnginePlacement(
                new SplittableRandom(),
                settings.measuresRates()
                        ? new EngineRates(MonotonicClock.SYSTEM, metrics)
                        : new NominalRates(MonotonicClock.SYSTEM, metrics),
                new EngineZones(zoneCost, metrics));
        exchange = new WorkExchange(
                self,
                peers,
                tracks,
                limits,
                engines.rates(),
                accountLimits,
                limitFleet,
                configurations,
                reportedWindows,
                MonotonicClock.SYSTEM,
                metrics);
        watchedStore = new RelayedStore(store, self, peers, MonotonicClock.SYSTEM, metrics);
        client = AdapterHttpClient.start(UPSTREAM_CLIENT_SETTINGS);
        LeastLoadedPlacement placement = new LeastLoadedPlacement(
                ThreadLocalRandom::current, new ZoneSpill(zoneCost, MonotonicClock.SYSTEM, metrics));
        RetryAllowance retries = new RetryAllowance(
                MonotonicClock.SYSTEM,
                settings.retryLimit(),
                () -> members.members().size());
        crashReporter = CrashReporter.create(store, this::storeEra, crashes, this::isInService, settings.vm());
        streamVersions = StreamVersions.create(
                store,
                this::storeEra,
                defaultVersions,
                replicas::all,
                () -> Math.max(1, members.members().size()),
                metrics);
        long bufferBytes = Runtime.getRuntime().maxMemory() / BUFFER_HEAP_PARTS;
        ForwardingServices services = new ForwardingServices(
                configuration,
                replicas,
                tracks,
                new UpstreamNotices(MonotonicClock.SYSTEM, new SplittableRandom(), metrics),
                limits,
                accountLimits,
                engines,
                placement,
                retries,
                crashes,
                crashReporter,
                streamVersions,
                dialect,
                client,
                new BufferMemory(bufferBytes),
                new BufferMemory(bufferBytes),
                usage,
                metrics,
                MonotonicClock.SYSTEM);
        server = new GatewayServer(settings.callers(), services, platform.handlers(this));
        configuration.observe(adopted -> server.apply(adopted.document().limits()));
        metrics.registerGauge("requests.open", server::openRequests);
    }

    /**
     * Starts all background tasks and accepts connections.
     *
     * @throws StartFailedException if the gateway cannot listen at one of its addresses
     */
    public void start() throws StartFailedException {
        Supplier<Duration> immediate = () -> PrefixWatcher.BATCHING_DELAY;
        follow(platform.keys().configuration().path(), PrefixWatcher.SHORT_WATCH, configurations, immediate);
        follow(platform.keys().replicaPrefix(), PrefixWatcher.SHORT_WATCH, replicas, immediate);
        follow(GatewayStoreKeys.LIVE_PREFIX, PrefixWatcher.LONG_WATCH, members, this::longBatchingDelay);
        follow(CrashStoreKeys.PREFIX, PrefixWatcher.LONG_WATCH, crashes, immediate);
        follow(StreamStoreKeys.DEFAULTS_PREFIX, PrefixWatcher.LONG_WATCH, defaultVersions, this::longBatchingDelay);
        try {
            peers.start();
            server.start();
        } catch (IOException failure) {
            throw new StartFailedException(failure.getMessage(), failure);
        }
        tasks.start("presence", MemberPresence.RENEWAL_INTERVAL, this::keepPresence);
        tasks.start(
                "usage",
                () -> UsagePublisher.interval(members.members().size()),
                () -> usagePublisher.publish(members.members().size()));
        tasks.startWithJitter("crash-clearances", CrashReporter.CLEARANCE_INTERVAL, crashReporter::publishClearances);
        tasks.startWithJitter("crash-reports", CrashReporter.CLEARANCE_INTERVAL, crashReporter::restoreReports);
        tasks.startWithJitter("duty-lease", DutyLease.INTERVAL, duties::refresh);
        tasks.start("work-exchange", exchange::interval, exchange::exchange);
        tasks.start("configuration-exchange", ConfigurationExchange.INTERVAL, configurations::fetchNewer);
        tasks.start("upkeep", MAINTENANCE_INTERVAL, this::runMaintenance);
        tasks.start("probe-callers", GatewayServer.probeInterval(), server::probeCallers);
        tasks.start("late-heads", GatewayServer.HEADER_CHECK_INTERVAL, server::closeSlowHeaderConnections);
        startDuties();
        LOG.info("started", EventField.of("vm", settings.vm()), EventField.of("callers", settings.callersText()));
    }

    private Duration longBatchingDelay() {
        return members.members().size() < ZoneDelegates.MINIMUM_VMS
                ? PrefixWatcher.BATCHING_DELAY
                : PrefixWatcher.LARGE_FLEET_BATCHING_DELAY;
    }

    private void follow(String prefix, Duration watchTime, PrefixListener listener, Supplier<Duration> batchingDelay) {
        PrefixWatcher follower =
                new PrefixWatcher(watchedStore, prefix, watchTime, listener, health, Sleeper.SYSTEM, batchingDelay);
        tasks.startOnce("follow " + prefix, follower);
    }

    private void startDuties() {
        UsageReporter reporter = new UsageReporter(
                store, this::storeEra, usage, platform.usage(), health, settings.usageDueTime(), reportedWindows);
        FleetReconciler fleet = new FleetReconciler(
                replicas, platform.replicaOrdering(), engines::refusedShare, tracks::requestsAt, MonotonicClock.SYSTEM);
        StageReconciler stages = new StageReconciler(
                replicas,
                fleet,
                platform.stageOrdering(),
                (engine, time) -> tracks.of(engine).avoid(time, MonotonicClock.SYSTEM.nanoTime()),
                MonotonicClock.SYSTEM);
        DefaultVersionKeeper defaults = streamVersions.keeper();
        tasks.startWithJitter("stream-defaults", DefaultVersionKeeper.INTERVAL, () -> {
            runIfConfigured(defaults::endDefaults);
            runIfHolder(holder -> runIfConfigured(defaults::nameDefaults));
        });
        StreamRecordSweeper streamRecords = streamVersions.sweeper();
        tasks.startWithJitter(
                "stream-records", StreamRecordSweeper.INTERVAL, () -> runIfHolder(holder -> streamRecords.run()));
        tasks.start("usage-reports", UsageReporter.INTERVAL, () -> {
            reporter.restoreSealed();
            runIfHolder(reporter::run);
        });
        tasks.start(
                "fleet",
                FleetReconciler.INTERVAL,
                () -> runIfHolder(holder -> runIfConfigured(active -> fleet.run(holder, active))));
        tasks.start(
                "stages",
                StageReconciler.INTERVAL,
                () -> runIfHolder(holder -> runIfConfigured(active -> stages.run(holder, active))));
    }

    private StoreEra storeEra() {
        return store.era().orElse(StoreEra.UNKNOWN);
    }

    private void runIfHolder(InterruptibleConsumer<DutyHolder> duty) {
        Optional<DutyHolder> holder = duties.held();
        if (holder.isPresent()) {
            run(duty, holder.get());
        }
    }

    private void runIfConfigured(InterruptibleConsumer<ActiveConfiguration> task) {
        configuration.current().ifPresent(active -> run(task, active));
    }

    private static <T> void run(InterruptibleConsumer<T> task, T value) {
        try {
            task.run(value);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void keepPresence() {
        if (configuration.current().isPresent()) {
            presence.refresh();
        }
    }

    private void runMaintenance() {
        replicas.dropLapsed();
        streamVersions.maintain();
        tracks.retain(replicas.all());
        listedPeers.connect();
    }

    /** Returns whether this VM accepts callers: it has a configuration and is not draining. */
    public boolean isReady() {
        return !draining && configuration.current().isPresent() && crashes.isRead();
    }

    private boolean isInService(ReplicaEntry upstream) {
        return replicas.accepting(upstream.service()).stream()
                .anyMatch(entry -> entry.id().equals(upstream.id()));
    }

    /**
     * Returns the addresses of VMs that accept callers, as {@code address:port}; without this VM while it drains.
     *
     * @param callerZone the name of the caller's zone; may be unknown
     * @param maximum the most addresses to return
     */
    public List<String> callerAddresses(String callerZone, int maximum) {
        List<MemberEntry> accepting = members.members().stream()
                .filter(member -> !draining || !member.callers().equals(settings.callersText()))
                .toList();
        if (accepting.isEmpty()) {
            return isReady() ? List.of(settings.callersText()) : List.of();
        }
        Duration time = Duration.ofNanos(MonotonicClock.SYSTEM.nanoTime());
        return CallerAddresses.choose(accepting, callerZone, maximum, time).stream()
                .map(MemberEntry::callers)
                .toList();
    }

    /** Returns the registry of counters, gauges and latency histograms. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /**
     * Shuts down gracefully: removes this VM from the callers' addresses, accepts only requests that end before the
     * process does, waits until none is open, and stops. Requests accepted before the shutdown may run until shortly
     * before the end of the grace period.
     *
     * @return false if requests were still running at the end of the grace period and were aborted
     */
    public boolean drainAndStop() throws InterruptedException {
        long signalledAt = System.nanoTime();
        long lastResponseAt = signalledAt + settings.lastResponseTime().toNanos();
        long stopAt = signalledAt + settings.stopTime().toNanos();
        draining = true;
        server.limitRequestDeadlines(lastResponseAt - RESPONSE_MARGIN.toNanos());
        LOG.info("draining", EventField.of("open_requests", server.openRequests()));
        // Both may block on an unresponsive store, so they run in the background and do not delay the shutdown.
        tasks.startOnce("withdraw-presence", presence::withdraw);
        tasks.startOnce("stop-duties", duties::stop);
        Thread.sleep(timeUntil(signalledAt + settings.addressLifetime().toNanos()));
        server.closeConnections();
        LOG.info("connections_closing", EventField.of("open_requests", server.openRequests()));
        Thread.sleep(timeUntil(signalledAt
                + settings.addressLifetime()
                        .plus(settings.connectionCloseTime())
                        .toNanos()));
        server.awaitRequests(timeUntil(lastResponseAt));
        server.refuseRequests();
        // A request may have started between the end of the last one and refuseRequests().
        server.awaitRequests(timeUntil(lastResponseAt));
        publishLastUsage();
        boolean allEnded = server.awaitRequests(timeUntil(stopAt));
        LOG.info(
                "requests_awaited",
                EventField.of("open_requests", server.openRequests()),
                EventField.of("grace_left_ms", TimeUnit.NANOSECONDS.toMillis(stopAt - System.nanoTime())));
        int aborted = server.openRequests();
        close();
        LOG.info("stopped", EventField.of("requests_cut", aborted));
        return allEnded;
    }

    private static Duration timeUntil(long deadline) {
        return Duration.ofNanos(Math.max(0, deadline - System.nanoTime()));
    }

    /** Stops immediately and aborts running requests. */
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

    /**
     * Writes the last usage with a time limit, so that an unresponsive store does not delay the exit beyond the grace
     * period.
     */
    private void publishLastUsage() {
        try {
            if (!usagePublisher.close(LAST_USAGE_TIMEOUT)) {
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

    /** A consumer that may block and be interrupted. */
    @FunctionalInterface
    private interface InterruptibleConsumer<T> {
        void run(T value) throws InterruptedException;
    }
}
