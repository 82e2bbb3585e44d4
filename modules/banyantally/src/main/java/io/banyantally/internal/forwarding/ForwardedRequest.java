package io.banyantally.internal.forwarding;

import io.banyantally.deployment.AccountRule;
import io.banyantally.deployment.MalformedRequestException;
import io.banyantally.deployment.PrefilledCache;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.RequestMetadata;
import io.banyantally.deployment.RouteRule;
import io.banyantally.deployment.ServiceRule;
import io.banyantally.deployment.ServiceShare;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.placement.Candidate;
import io.banyantally.internal.placement.EnginePlacement;
import io.banyantally.internal.placement.Placement;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.HeaderField;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Serves one request of a caller, from its checks to its last byte. */
final class ForwardedRequest {

    /** When a caller may return to a VM that has not read a configuration yet. */
    private static final Duration RETRY_WITHOUT_CONFIGURATION = Duration.ofMillis(300);

    /** When a caller may return after its upstream was full; queues there change within some ten milliseconds. */
    private static final Duration RETRY_WHEN_FULL = Duration.ofMillis(60);

    /** When a caller of a VM that shuts down may go to another one. */
    private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(10);

    private static final String SHUTTING_DOWN = "draining";

    /** When a caller may return to a service without upstreams. */
    private static final Duration RETRY_WITHOUT_UPSTREAM = Duration.ofMillis(400);

    /** Upstreams that may refuse a request before its caller is told to return later. */
    private static final int MOST_REFUSALS = 2;

    private final ForwardingServices services;
    private final CallerExchange caller;
    private final RequestLog log;
    private final ShutdownAdmission admission;
    private String routeName = "none";

    /** Creates a request that is not begun. */
    ForwardedRequest(ForwardingServices services, CallerExchange caller, ShutdownAdmission admission) {
        this.services = services;
        this.caller = caller;
        this.admission = admission;
        this.log = new RequestLog(services.clock());
    }

    void run() throws IOException, InterruptedException {
        List<HeaderField> headers = caller.headers();
        Optional<RequestMetadata> facts = Optional.empty();
        try {
            facts = Optional.of(services.dialect().readRequest(headers));
            log.add("request", facts.get().attempt());
            caller.setAttempt(facts.get().attempt());
            forward(admit(facts.get(), headers));
        } catch (MalformedRequestException malformed) {
            log.add("detail", malformed.getMessage());
            refuse(Refusal.wrong(Refusal.BAD_REQUEST, "malformed"), facts);
        } catch (RefusedException refused) {
            refuse(refused.refusal(), facts);
        } catch (IOException cut) {
            log.add("detail", String.valueOf(cut.getMessage()));
            log.write(services.metrics(), routeName, 0, caller.isGone() ? "caller_gone" : "cut");
            throw cut;
        }
    }

    private AdmittedRequest admit(RequestMetadata facts, List<HeaderField> headers)
            throws RefusedException, IOException, InterruptedException {
        ActiveConfiguration configuration = services.configuration()
                .current()
                .orElseThrow(
                        () -> new RefusedException(Refusal.notRun("no_configuration", RETRY_WITHOUT_CONFIGURATION)));
        log.add("configuration", configuration.version());
        if (caller.headBytes() > configuration.document().limits().headerBytes() + AdmittedRequest.HEAD_MARGIN_BYTES) {
            throw new RefusedException(Refusal.wrong(Refusal.HEAD_TOO_LARGE, "head_too_large"));
        }
        RouteRule route = configuration
                .route(caller.host(), caller.path())
                .orElseThrow(() -> new RefusedException(Refusal.wrong(Refusal.NOT_FOUND, "no_route")));
        routeName = route.kind().name().toLowerCase(Locale.ROOT);
        log.add("route", route.name());
        Optional<AccountRule> account = facts.key().flatMap(configuration::account);
        account.ifPresent(known -> log.add("account", known.account()));
        if (account.isEmpty() && configuration.requiresKeys() && !route.anonymous()) {
            throw new RefusedException(Refusal.wrong(Refusal.UNAUTHORIZED, "unknown_key"));
        }
        Duration limit = facts.timeout()
                .filter(patience -> patience.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        long deadline = log.arrived() + limit.toNanos();
        checkShutdown(deadline);
        byte[] body = readBody(configuration.document().limits().bodyBytes(), deadline);
        ServiceName serviceName = chooseService(route);
        ServiceRule service = configuration
                .service(serviceName)
                .orElseGet(() -> new ServiceRule(serviceName, Integer.MAX_VALUE, Optional.empty(), Optional.empty()));
        log.add("service", serviceName);
        facts.prompt()
                .ifPresent(prompt -> log.add("tokens", prompt.promptTokens() + "+" + prompt.maximumOutputTokens()));
        checkShutdown(deadline);
        return new AdmittedRequest(route, service, facts, account, headers, body, deadline);
    }

    private byte[] readBody(int maximumBytes, long deadline)
            throws RefusedException, IOException, InterruptedException {
        try {
            return caller.readBody(maximumBytes, deadline)
                    .orElseThrow(() -> new RefusedException(Refusal.wrong(Refusal.BODY_TOO_LARGE, "body_too_large")));
        } catch (BodyTimeoutException late) {
            throw new RefusedException(Refusal.notRead());
        }
    }

    private void checkShutdown(long deadline) throws RefusedException {
        if (!admission.takes(deadline)) {
            log.add(
                    "left_ms",
                    TimeUnit.NANOSECONDS.toMillis(deadline - services.clock().nanoTime()));
            throw new RefusedException(Refusal.notRun(SHUTTING_DOWN, RETRY_ELSEWHERE));
        }
    }

    private static ServiceName chooseService(RouteRule route) {
        int total = route.services().stream().mapToInt(ServiceShare::weight).sum();
        if (total <= 0) {
            return route.services().getFirst().service();
        }
        int drawn = ThreadLocalRandom.current().nextInt(total);
        for (ServiceShare share : route.services()) {
            drawn -= share.weight();
            if (drawn < 0) {
                return share.service();
            }
        }
        return route.services().getLast().service();
    }

    private void forward(AdmittedRequest request) throws RefusedException, IOException, InterruptedException {
        services.retries().recordRequest(request.service().name());
        UpstreamCalls calls = new UpstreamCalls(services, caller, request);
        UpstreamSender sender = new UpstreamSender(services, caller, request, calls, log);
        EngineSender engines = new EngineSender(services, caller, calls, log);
        Set<UpstreamId> tried = new HashSet<>();
        PromptReading reading = prefill(request, engines);
        Optional<PrefilledCache> handOver = reading.handOver();
        Optional<Placement.Decision.Send> chosen = reading.reader();
        int sends = 0;
        int refusals = 0;
        boolean mayHaveRun = false;
        Optional<SendOutcome.Answered> failure = Optional.empty();
        try {
            while (true) {
                if (!mayHaveRun) {
                    // The shutdown may have begun while the prompt was read.
                    checkShutdown(request.deadline());
                }
                Placement.Decision.Send choice;
                try {
                    choice = chosen.isPresent() ? chosen.get() : place(request, tried, handOver, mayHaveRun);
                } catch (RefusedException nobodyLeft) {
                    if (failure.isEmpty()) {
                        throw nobodyLeft;
                    }
                    passOn(failure.get());
                    return;
                }
                chosen = Optional.empty();
                tried.add(choice.candidate().entry().id());
                sends++;
                SendOutcome outcome = sender.send(choice, handOver);
                if (outcome instanceof SendOutcome.NotRun) {
                    // A refused send has not run anywhere, so it does not count against the route's attempts.
                    sends--;
                    refusals++;
                    if (refusals > 1) {
                        // Twice refused with the handle: the KV cache may be gone, so it is read again.
                        handOver.ifPresent(engines::free);
                        handOver = Optional.empty();
                    }
                } else {
                    handOver = Optional.empty();
                }
                mayHaveRun |= outcome instanceof SendOutcome.Unknown;
                if (outcome instanceof SendOutcome.Answered answered) {
                    mayHaveRun = true;
                    failure = Optional.of(answered);
                }
                boolean mayRepeat = sends < request.route().attempts() && refusals <= MOST_REFUSALS;
                if (finished(request, sender, outcome, mayRepeat, mayHaveRun)) {
                    return;
                }
            }
        } finally {
            handOver.ifPresent(engines::free);
        }
    }

    /** Has a long prompt read where a prefill engine can do so in time, or finds a decoding engine with room for it. */
    private PromptReading prefill(AdmittedRequest request, EngineSender engines)
            throws RefusedException, InterruptedException {
        Placement.Demand demand = demand(request);
        if (request.service().engine().isEmpty() || !EnginePlacement.isLongPrompt(demand)) {
            return PromptReading.NONE;
        }
        List<Candidate> candidates = candidates(request, Set.of());
        return switch (services.engines().decidePrefill(demand, candidates)) {
            case Placement.Decision.Send send -> new PromptReading(engines.prefill(send), Optional.empty());
            case Placement.Decision.Refuse full -> {
                if (services.engines().decideOverflow(demand, candidates) instanceof Placement.Decision.Send reader) {
                    yield new PromptReading(Optional.empty(), Optional.of(reader));
                }
                throw full(full);
            }
            case Placement.Decision.NoUpstream nobody -> PromptReading.NONE;
        };
    }

    /** Ends the request if nothing more is to be tried; otherwise the caller sends it to another upstream. */
    private boolean finished(
            AdmittedRequest request, UpstreamSender sender, SendOutcome outcome, boolean sendsLeft, boolean mayHaveRun)
            throws RefusedException, IOException {
        boolean timeLeft = request.remaining(services.clock()).toMillis() > 0;
        switch (outcome) {
            case SendOutcome.Delivered delivered -> {
                log.write(services.metrics(), routeName, 200, delivered.reason());
                return true;
            }
            case SendOutcome.CallerGone left -> throw new IOException("the caller has left: " + left.reason());
            case SendOutcome.Answered answer -> {
                boolean failed = answer.status() >= 500;
                if (failed && timeLeft && request.route().isRepeatable() && mayRepeat(request, sender, sendsLeft)) {
                    return false;
                }
                passOn(answer);
                return true;
            }
            case SendOutcome.NotRun refused -> {
                if (timeLeft && mayRepeat(request, sender, sendsLeft)) {
                    return false;
                }
                log.add("detail", refused.reason());
                if (sender.hasDelivered()) {
                    throw new IOException("no upstream continues the stream");
                }
                throw new RefusedException(
                        mayHaveRun
                                ? Refusal.mayHaveRun("upstream_refused")
                                : Refusal.notRun("upstream_refused", jittered(RETRY_WHEN_FULL)));
            }
            case SendOutcome.Unknown lost -> {
                if (timeLeft && request.route().isRepeatable() && mayRepeat(request, sender, sendsLeft)) {
                    return false;
                }
                log.add("detail", lost.reason());
                if (sender.hasDelivered()) {
                    throw new IOException("the stream broke: " + lost.reason());
                }
                throw new RefusedException(timeLeft ? Refusal.mayHaveRun("upstream_failed") : Refusal.timedOut());
            }
        }
    }

    private void passOn(SendOutcome.Answered answer) throws IOException {
        if (caller.isCommitted()) {
            throw new IOException("the repeat of the stream failed: " + answer.status());
        }
        caller.answer(answer.status(), services.dialect().callerHeaders(answer.headers()), answer.body());
        log.write(services.metrics(), routeName, answer.status(), answer.reason());
    }

    private boolean mayRepeat(AdmittedRequest request, UpstreamSender sender, boolean sendsLeft) {
        // A repeat at the end of a shutdown is cut; without it the caller can go elsewhere.
        boolean endsInTime = sender.hasDelivered() || !admission.hasEnded();
        return sendsLeft
                && endsInTime
                && services.retries().tryRetry(request.service().name());
    }

    private Placement.Decision.Send place(
            AdmittedRequest request, Set<UpstreamId> tried, Optional<PrefilledCache> handOver, boolean mayHaveRun)
            throws RefusedException {
        List<Candidate> candidates = candidates(request, tried);
        // A request that an upstream has lost, or whose stream has begun, is better late than cut.
        Placement.Demand demand =
                tried.isEmpty() ? demand(request) : demand(request, request.remaining(services.clock()));
        Placement.Decision decision = request.service().engine().isPresent()
                ? services.engines()
                        .decideDecode(
                                demand,
                                candidates,
                                handOver.map(PrefilledCache::engine).map(ReplicaEntry::zone))
                : services.plain().decide(demand, candidates);
        if (decision instanceof Placement.Decision.Send send) {
            return send;
        }
        if (mayHaveRun) {
            throw new RefusedException(Refusal.mayHaveRun("no_other_upstream"));
        }
        if (decision instanceof Placement.Decision.Refuse full) {
            throw full(full);
        }
        throw new RefusedException(Refusal.notRun("no_upstream", jittered(RETRY_WITHOUT_UPSTREAM)));
    }

    private RefusedException full(Placement.Decision.Refuse full) {
        log.add("wait_ms", (long) full.waitMillis());
        return new RefusedException(Refusal.notRun("full", full.retryAfter()));
    }

    private List<Candidate> candidates(AdmittedRequest request, Set<UpstreamId> tried) {
        List<ReplicaEntry> untried = services
                .replicas()
                .accepting(request.service().name())
                .stream()
                .filter(entry -> !tried.contains(entry.id()))
                .toList();
        return services.tracks().candidates(untried);
    }

    private static Placement.Demand demand(AdmittedRequest request) {
        return demand(request, request.route().latencyTarget());
    }

    private static Placement.Demand demand(AdmittedRequest request, Duration latencyTarget) {
        return new Placement.Demand(request.facts().prompt(), latencyTarget);
    }

    private void refuse(Refusal refusal, Optional<RequestMetadata> facts) throws IOException {
        List<HeaderField> headers = new ArrayList<>();
        facts.ifPresent(known -> headers.addAll(services.dialect().gatewayResponseHeaders(known)));
        refusal.retryAfter().ifPresent(after -> headers.add(new HeaderField("Retry-After", seconds(after))));
        if (refusal.reason().equals(SHUTTING_DOWN) || !caller.discardBody()) {
            // The next request would be refused as well, or would meet the close behind a body that is not read.
            caller.closeAfterAnswer();
        }
        if (caller.isCommitted()) {
            // The answer has begun, so only a cut tells the caller that it is not whole.
            log.write(services.metrics(), routeName, 0, refusal.reason());
            throw new IOException("the stream cannot be continued: " + refusal.reason());
        }
        log.write(services.metrics(), routeName, refusal.status(), refusal.reason());
        caller.answer(refusal.status(), headers, new byte[0]);
    }

    private static String seconds(Duration duration) {
        return String.format(Locale.ROOT, "%.3f", duration.toMillis() / (double) TimeUnit.SECONDS.toMillis(1));
    }

    /** Spreads the return of callers that are refused together over twice the time. */
    private static Duration jittered(Duration shortest) {
        return shortest.plusMillis(ThreadLocalRandom.current().nextLong(shortest.toMillis() + 1));
    }

    /**
     * What was done about a prompt before the first send.
     *
     * @param handOver the KV cache of the prompt, if a prefill engine has read it
     * @param reader the decoding engine that reads it, if it has been chosen already
     */
    private record PromptReading(Optional<PrefilledCache> handOver, Optional<Placement.Decision.Send> reader) {

        static final PromptReading NONE = new PromptReading(Optional.empty(), Optional.empty());
    }
}
