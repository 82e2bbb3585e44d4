package io.banyantally.internal.routing;

import io.banyantally.internal.admission.CapacityView;
import io.banyantally.internal.admission.ServiceCapacity;
import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.configuration.ServiceKind;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.PeriodicTasks;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Routes requests by expected first-token time and token interval. {@link #start} runs the periodic tasks that poll
 * engines and exchange load with peers; a simulation calls {@link #poll} and {@link #exchange} instead.
 */
public final class LoadAwareRouter implements Router, CapacityView, WorkEstimator {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
    private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(100);
    private static final long CAPACITY_CACHE_NANOS = 20_000_000L;
    private static final int PREFIX_INDEX_CAPACITY = 65_536;
    private static final double TRANSFER_RATE_SMOOTHING = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock;
    private final UpstreamCatalogue catalogue;
    private final ConfigurationView configuration;
    private final RouterSettings settings;
    private final Map<UpstreamId, UpstreamState> states = UpstreamTable.newStates();
    private final Map<ServiceName, UpstreamTable> tables = new ConcurrentHashMap<>();
    private final Map<ServiceName, TimedCapacity> capacities = new ConcurrentHashMap<>();
    private final PrefixIndex prefixIndex = new PrefixIndex(PREFIX_INDEX_CAPACITY);
    private final LoadExchange exchange;
    private final OutlierEjection ejection;
    private final CandidateSelector selector;
    private volatile double transferTokensPerSecond;
    private final PeriodicTasks tasks = new PeriodicTasks();

    /**
     * Creates the router of one VM and sets its handler for the topic {@code routing.load}.
     *
     * @param random selects among the best upstreams; use {@code ThreadLocalRandom::current} outside simulations
     */
    public LoadAwareRouter(
            VmId self,
            MonotonicClock clock,
            UpstreamCatalogue catalogue,
            UpstreamConnector connector,
            ConfigurationView configuration,
            PeerNetwork peers,
            Timeline timeline,
            RouterSettings settings,
            Supplier<RandomGenerator> random) {
        this.clock = clock;
        this.catalogue = catalogue;
        this.configuration = configuration;
        this.settings = settings;
        this.transferTokensPerSecond = settings.transferTokensPerSecond();
        this.exchange = new LoadExchange(self, clock, peers, connector, states, prefixIndex);
        this.ejection = new OutlierEjection(timeline);
        this.selector = new CandidateSelector(new Scorer(settings), prefixIndex, random);
    }

    private record TimedCapacity(Optional<ServiceCapacity> capacity, long computedAt) {}

    /** Starts the periodic tasks. */
    public void start() {
        tasks.start("routing-poll", POLL_INTERVAL, this::poll);
        tasks.start("routing-exchange", EXCHANGE_INTERVAL, this::exchange);
    }

    /** Stops the periodic tasks. */
    public void stop() {
        tasks.stop();
    }

    /** Polls the engines that are assigned to this VM, once. */
    public void poll() {
        // Also adds the states of new upstreams, so that their load is known before the first request.
        configuration.current().services().keySet().forEach(this::activeUpstreams);
        exchange.poll();
    }

    /** Exchanges load with all peers, once. */
    public void exchange() {
        exchange.exchange();
    }

    @Override
    public Route choose(RoutingRequest request) throws NoUpstreamException {
        return choose(request, request.model().isPresent() ? PrefixHashes.of(request.prompt()) : new long[0]);
    }

    /** Does the same as {@link #choose(RoutingRequest)} for a caller that has already hashed the prompt's prefixes. */
    public Route choose(RoutingRequest request, long[] hashes) throws NoUpstreamException {
        long now = clock.nanoTime();
        UpstreamState[] service = activeUpstreams(request.service());
        ScoredRoute choice = request.model().isPresent()
                ? selector.selectEngine(service, request, hashes, transferTokensPerSecond, now)
                : selector.selectPlainService(service, request, now);
        if (choice == null) {
            throw new NoUpstreamException(
                    request.service(), service.length + " active upstreams, none of which accepts the request now");
        }
        countAttempt(request, choice);
        int promptTokens = request.work().promptTokens();
        int wholeBlockTokens = hashes.length * PrefixHashes.BLOCK_TOKENS;
        int cachedTokens = choice.cachedBlocks() * PrefixHashes.BLOCK_TOKENS;
        long prefillStageTokens = choice.prefill() == null ? 0 : Math.max(1, wholeBlockTokens - cachedTokens);
        long localPrefillTokens = choice.prefill() == null
                ? Math.max(1, promptTokens - cachedTokens)
                : Math.max(1, promptTokens - wholeBlockTokens);
        recordSentPrefixes(hashes, choice.upstream(), now);
        if (choice.prefill() != null) {
            recordSentPrefixes(hashes, choice.prefill(), now);
        }
        return new ChosenRoute(this, service, choice, hashes, prefillStageTokens, localPrefillTokens, now);
    }

    private void recordSentPrefixes(long[] hashes, UpstreamState upstream, long now) {
        if (prefixIndex.recordSent(hashes, upstream, now)) {
            exchange.recordSentPrefixes(hashes, upstream);
        }
    }

    private static void countAttempt(RoutingRequest request, ScoredRoute choice) throws NoUpstreamException {
        if (request.excluded().isEmpty()) {
            choice.upstream().retries.recordFirstAttempt();
        } else if (!choice.upstream().retries.tryRetry()) {
            throw new NoUpstreamException(request.service(), "the retry budget of the chosen upstream is used up");
        }
    }

    @Override
    public WorkEstimate estimate(ServiceName service, String prompt, WorkEstimate fullEstimate) {
        return estimate(service, fullEstimate, PrefixHashes.of(prompt));
    }

    /**
     * Estimates the work of a generation without the part of its prompt that some upstream probably has in its cache.
     */
    public WorkEstimate estimate(ServiceName service, WorkEstimate fullEstimate, long[] hashes) {
        int cachedTokens = 0;
        for (int block = hashes.length - 1; block >= 0 && cachedTokens == 0; block--) {
            if (prefixIndex.holders(hashes[block]).length > 0) {
                cachedTokens = (block + 1) * PrefixHashes.BLOCK_TOKENS;
            }
        }
        return new WorkEstimate(Math.max(1, fullEstimate.promptTokens() - cachedTokens), fullEstimate.outputTokens());
    }

    private UpstreamState[] activeUpstreams(ServiceName service) {
        UpstreamTable table = tables.get(service);
        if (table == null) {
            table = tables.computeIfAbsent(service, name -> new UpstreamTable(states, settings, this::isModel));
        }
        return table.activeUpstreams(catalogue.upstreams(service));
    }

    private boolean isModel(ServiceName service) {
        ServiceTemplate template = configuration.current().services().get(service);
        return template != null && template.kind() == ServiceKind.MODEL;
    }

    @Override
    public Optional<ServiceCapacity> capacity(ServiceName service) {
        long now = clock.nanoTime();
        TimedCapacity last = capacities.get(service);
        if (last == null || now - last.computedAt() > CAPACITY_CACHE_NANOS) {
            last = new TimedCapacity(computeCapacity(service, now), now);
            capacities.put(service, last);
        }
        return last.capacity();
    }

    private Optional<ServiceCapacity> computeCapacity(ServiceName service, long now) {
        UpstreamState[] upstreams = activeUpstreams(service);
        return upstreams.length > 0 && upstreams[0].isEngine()
                ? CapacityEstimate.ofEngines(upstreams, now)
                : CapacityEstimate.ofPlainServices(upstreams, settings.callsPerReplica(), now);
    }

    long now() {
        return clock.nanoTime();
    }

    void recordFailure(UpstreamState upstream, UpstreamState[] service) {
        ejection.recordFailure(upstream, service, clock.nanoTime());
    }

    void recordSuccess(UpstreamState upstream) {
        ejection.recordSuccess(upstream);
    }

    void recordTransfer(int tokens, Duration duration) {
        if (!duration.isPositive()) {
            return;
        }
        double rate = tokens / (duration.toNanos() / NANOS_PER_SECOND);
        double smoothed = transferTokensPerSecond + TRANSFER_RATE_SMOOTHING * (rate - transferTokensPerSecond);
        transferTokensPerSecond = smoothed;
    }
}
