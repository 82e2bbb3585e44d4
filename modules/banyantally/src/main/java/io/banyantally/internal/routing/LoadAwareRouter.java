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
 * Routes by expected first-token time and token interval. {@link #start} runs the tasks that poll engines and exchange load
 * with peers; a simulation calls {@link #poll} and {@link #exchange} instead.
 */
public final class LoadAwareRouter implements Router, CapacityView, WorkEstimator {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
    private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(100);
    private static final long CAPACITY_VALID_NANOS = 20_000_000L;
    private static final int INDEXED_PREFIXES = 65_536;
    private static final double COPY_SMOOTHING = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock;
    private final UpstreamCatalogue catalogue;
    private final ConfigurationView configuration;
    private final RouterSettings settings;
    private final Map<UpstreamId, UpstreamState> states = UpstreamTable.newStates();
    private final Map<ServiceName, UpstreamTable> tables = new ConcurrentHashMap<>();
    private final Map<ServiceName, TimedCapacity> capacities = new ConcurrentHashMap<>();
    private final PrefixIndex index = new PrefixIndex(INDEXED_PREFIXES);
    private final LoadExchange exchange;
    private final OutlierEjection ejection;
    private final CandidateChoice candidates;
    private volatile double copyTokensPerSecond;
    private final PeriodicTasks tasks = new PeriodicTasks();

    /**
     * Creates the router of one VM and sets its handler for the topic {@code routing.load}.
     *
     * @param random draws among the best upstreams; give {@code ThreadLocalRandom::current} outside simulations
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
        this.copyTokensPerSecond = settings.transferTokensPerSecond();
        this.exchange = new LoadExchange(self, clock, peers, connector, states, index);
        this.ejection = new OutlierEjection(timeline);
        this.candidates = new CandidateChoice(new Scorer(settings), index, random);
    }

    private record TimedCapacity(Optional<ServiceCapacity> capacity, long at) {}

    /** Starts the periodic tasks. */
    public void start() {
        tasks.start("routing-poll", POLL_INTERVAL, this::poll);
        tasks.start("routing-exchange", EXCHANGE_INTERVAL, this::exchange);
    }

    /** Stops the periodic tasks. */
    public void stop() {
        tasks.stop();
    }

    /** Polls the engines that fall to this VM, once. */
    public void poll() {
        // Upstreams become known here too, so that the first request finds a load view.
        configuration.current().services().keySet().forEach(this::staying);
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

    /** As {@link #choose(RoutingRequest)} for a caller that has hashed the prompt's prefixes already. */
    public Route choose(RoutingRequest request, long[] hashes) throws NoUpstreamException {
        long now = clock.nanoTime();
        UpstreamState[] service = staying(request.service());
        Choice choice = request.model().isPresent()
                ? candidates.engine(service, request, hashes, copyTokensPerSecond, now)
                : candidates.plainService(service, request, now);
        if (choice == null) {
            throw new NoUpstreamException(
                    request.service(), service.length + " upstreams stay, none of them accepts the request now");
        }
        countTry(request, choice);
        int prompt = request.work().promptTokens();
        int whole = hashes.length * PrefixHashes.BLOCK_TOKENS;
        int cached = choice.cachedBlocks() * PrefixHashes.BLOCK_TOKENS;
        long stageTokens = choice.prefill() == null ? 0 : Math.max(1, whole - cached);
        long ownTokens = choice.prefill() == null ? Math.max(1, prompt - cached) : Math.max(1, prompt - whole);
        noteSent(hashes, choice.upstream(), now);
        if (choice.prefill() != null) {
            noteSent(hashes, choice.prefill(), now);
        }
        return new ChosenRoute(this, service, choice, hashes, stageTokens, ownTokens, now);
    }

    private void noteSent(long[] hashes, UpstreamState upstream, long now) {
        if (index.sent(hashes, upstream, now)) {
            exchange.sent(hashes, upstream);
        }
    }

    private static void countTry(RoutingRequest request, Choice choice) throws NoUpstreamException {
        if (request.excluded().isEmpty()) {
            choice.upstream().retries.recordFirstAttempt();
        } else if (!choice.upstream().retries.tryRetry()) {
            throw new NoUpstreamException(request.service(), "the retry budget of its upstreams is spent");
        }
    }

    @Override
    public WorkEstimate estimate(ServiceName service, String prompt, WorkEstimate whole) {
        return estimate(service, whole, PrefixHashes.of(prompt));
    }

    /** Estimates a generation's work without the part of the prompt that some upstream probably holds. */
    public WorkEstimate estimate(ServiceName service, WorkEstimate whole, long[] hashes) {
        int cached = 0;
        for (int block = hashes.length - 1; block >= 0 && cached == 0; block--) {
            if (index.holders(hashes[block]).length > 0) {
                cached = (block + 1) * PrefixHashes.BLOCK_TOKENS;
            }
        }
        return new WorkEstimate(Math.max(1, whole.promptTokens() - cached), whole.outputTokens());
    }

    private UpstreamState[] staying(ServiceName service) {
        UpstreamTable table = tables.get(service);
        if (table == null) {
            table = tables.computeIfAbsent(service, name -> new UpstreamTable(states, settings, this::isModel));
        }
        return table.staying(catalogue.upstreams(service));
    }

    private boolean isModel(ServiceName service) {
        ServiceTemplate template = configuration.current().services().get(service);
        return template != null && template.kind() == ServiceKind.MODEL;
    }

    @Override
    public Optional<ServiceCapacity> capacity(ServiceName service) {
        long now = clock.nanoTime();
        TimedCapacity last = capacities.get(service);
        if (last == null || now - last.at() > CAPACITY_VALID_NANOS) {
            last = new TimedCapacity(compute(service, now), now);
            capacities.put(service, last);
        }
        return last.capacity();
    }

    private Optional<ServiceCapacity> compute(ServiceName service, long now) {
        UpstreamState[] upstreams = staying(service);
        return upstreams.length > 0 && upstreams[0].isEngine()
                ? CapacityEstimate.ofEngines(upstreams, now)
                : CapacityEstimate.ofPlainServices(upstreams, settings.callsPerReplica(), now);
    }

    long now() {
        return clock.nanoTime();
    }

    void failed(UpstreamState upstream, UpstreamState[] service) {
        ejection.failed(upstream, service, clock.nanoTime());
    }

    void succeeded(UpstreamState upstream) {
        ejection.succeeded(upstream);
    }

    void measuredCopy(int tokens, Duration took) {
        if (!took.isPositive()) {
            return;
        }
        double rate = tokens / (took.toNanos() / NANOS_PER_SECOND);
        double learned = copyTokensPerSecond + COPY_SMOOTHING * (rate - copyTokensPerSecond);
        copyTokensPerSecond = learned;
    }
}
