package io.banyantally.internal.forwarding;

import io.banyantally.deployment.AccountRateLimit;
import io.banyantally.deployment.AccountRule;
import io.banyantally.deployment.MalformedRequestException;
import io.banyantally.deployment.PrefilledCache;
import io.banyantally.deployment.RequestMetadata;
import io.banyantally.deployment.RouteRule;
import io.banyantally.deployment.ServiceRule;
import io.banyantally.deployment.ServiceShare;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.placement.AccountLimits;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.streams.StreamStart;
import io.banyantally.model.AttemptId;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
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

/** Handles one request of a caller, from validation to the last byte of its response. */
final class ForwardedRequest {

    /** Retry-After of a VM that has not read a configuration yet. */
    private static final Duration RETRY_AFTER_NO_CONFIGURATION = Duration.ofMillis(300);

    /** A route gets a service only with another configuration. */
    private static final Duration RETRY_AFTER_NO_SERVICE = Duration.ofSeconds(1);

    /** Retry-After when upstreams are full; their queues change within some ten milliseconds. */
    private static final Duration RETRY_AFTER_FULL_UPSTREAM = Duration.ofMillis(60);

    /** Retry-After of a VM that shuts down; the caller can go to another VM. */
    private static final Duration RETRY_AFTER_SHUTDOWN = Duration.ofMillis(10);

    private static final String REASON_DRAINING = "draining";

    private static final String REASON_CRASHING_PROMPT = "crashing_prompt";

    /** Retry-After for a prompt that crashes upstreams; it stays refused for minutes. */
    private static final Duration RETRY_AFTER_CRASHING_PROMPT = Duration.ofMinutes(1);

    /** Retry-After for a stream whose version is not known; the store may answer again by then. */
    private static final Duration RETRY_AFTER_UNKNOWN_VERSION = Duration.ofSeconds(1);

    /** Upstreams that may refuse a request before its caller is told to retry later. */
    private static final int MAXIMUM_REFUSALS = 2;

    private final ForwardingServices services;
    private final CallerExchange caller;
    private final RequestLog log;
    private final ShutdownAdmission admission;
    private String routeName = "none";
    private Optional<AccountLimits.Permit> accountPermit = Optional.empty();
    private boolean mayRun;

    ForwardedRequest(ForwardingServices services, CallerExchange caller, ShutdownAdmission admission) {
        this.services = services;
        this.caller = caller;
        this.admission = admission;
        this.log = new RequestLog(services.clock());
    }

    void run() throws IOException, InterruptedException {
        try (BufferMemory.Reservation bodyMemory = services.requestMemory().open()) {
            run(bodyMemory);
        }
    }

    private void run(BufferMemory.Reservation bodyMemory) throws IOException, InterruptedException {
        List<HeaderField> headers = caller.headers();
        Optional<RequestMetadata> metadata = Optional.empty();
        try {
            metadata = Optional.of(services.dialect().readRequest(headers));
            log.add("request", metadata.get().attempt());
            caller.setAttemptId(metadata.get().attempt());
            metadata.get().resumedAttempt().ifPresent(attempt -> log.add("resumes", attempt));
            metadata.get().lastEventId().ifPresent(event -> log.add("after_event", event));
            forward(admit(metadata.get(), headers, bodyMemory));
        } catch (MalformedRequestException malformed) {
            log.add("detail", malformed.getMessage());
            refuse(Refusal.clientError(Refusal.BAD_REQUEST, "malformed"), metadata);
        } catch (RefusedException refused) {
            refuse(refused.refusal(), metadata);
        } catch (IOException aborted) {
            if (!mayRun) {
                giveBackAccountUnits();
            }
            log.add("detail", String.valueOf(aborted.getMessage()));
            log.write(services.metrics(), routeName, 0, caller.isDisconnected() ? "caller_gone" : "cut");
            throw aborted;
        }
    }

    private AdmittedRequest admit(
            RequestMetadata metadata, List<HeaderField> headers, BufferMemory.Reservation bodyMemory)
            throws RefusedException, IOException, InterruptedException {
        ActiveConfiguration configuration = services.configuration()
                .current()
                .filter(active -> services.crashes().isRead())
                .orElseThrow(
                        () -> new RefusedException(Refusal.notRun("no_configuration", RETRY_AFTER_NO_CONFIGURATION)));
        log.add("configuration", configuration.version());
        if (caller.headerBytes()
                > configuration.document().limits().headerBytes() + AdmittedRequest.HEADER_MARGIN_BYTES) {
            throw new RefusedException(Refusal.clientError(Refusal.HEADERS_TOO_LARGE, "head_too_large"));
        }
        RouteRule route = configuration
                .route(caller.host(), caller.path())
                .orElseThrow(() -> new RefusedException(Refusal.clientError(Refusal.NOT_FOUND, "no_route")));
        routeName = route.kind().name().toLowerCase(Locale.ROOT);
        log.add("route", route.name());
        Optional<AccountRule> account = metadata.key().flatMap(configuration::account);
        account.ifPresent(known -> log.add("account", known.account()));
        if (account.isEmpty() && configuration.requiresKeys() && !route.anonymous()) {
            throw new RefusedException(Refusal.clientError(Refusal.UNAUTHORIZED, "unknown_key"));
        }
        if (route.services().isEmpty()) {
            throw new RefusedException(Refusal.notRun("no_service", RETRY_AFTER_NO_SERVICE));
        }
        Duration timeout = metadata.timeout()
                .filter(callerTimeout -> callerTimeout.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        long deadlineNanos = log.arrivedAt() + timeout.toNanos();
        checkShutdown(deadlineNanos);
        byte[] body = readBody(bodyMemory, configuration.document().limits().bodyBytes(), deadlineNanos);
        ServiceName serviceName = chooseService(route);
        ServiceRule service = configuration
                .service(serviceName)
                .orElseGet(() -> new ServiceRule(serviceName, Integer.MAX_VALUE, Optional.empty(), Optional.empty()));
        log.add("service", serviceName);
        metadata.prompt()
                .ifPresent(prompt -> log.add("tokens", prompt.promptTokens() + "+" + prompt.maximumOutputTokens()));
        checkShutdown(deadlineNanos);
        if (account.isPresent()) {
            takeAccountUnits(account.get(), metadata);
        }
        return new AdmittedRequest(route, service, metadata, account, headers, body, deadlineNanos);
    }

    /** Refuses a request beyond the rate limit of its account, before any upstream has received it. */
    private void takeAccountUnits(AccountRule account, RequestMetadata metadata) throws RefusedException {
        if (account.rateLimit().isEmpty()) {
            return;
        }
        long units = units(account.rateLimit().get(), metadata);
        switch (services.accountLimits().tryTake(account, units)) {
            case AccountLimits.Permit permit -> accountPermit = Optional.of(permit);
            case AccountLimits.Exceeded exceeded -> {
                log.add("units", units);
                throw new RefusedException(Refusal.tooManyRequests(exceeded.retryAfter()));
            }
        }
    }

    private static long units(AccountRateLimit limit, RequestMetadata metadata) {
        return switch (limit.unit()) {
            case REQUESTS -> 1;
            case TOKENS ->
                metadata.prompt()
                        .map(prompt -> (long) prompt.promptTokens() + prompt.maximumOutputTokens())
                        .orElse((long) limit.plainRequestTokens());
        };
    }

    /** Ends the use of the account's limit by a request that has not run and will not run. */
    private void giveBackAccountUnits() {
        accountPermit.ifPresent(services.accountLimits()::giveBack);
        accountPermit = Optional.empty();
    }

    private byte[] readBody(BufferMemory.Reservation bodyMemory, int maximumBytes, long deadlineNanos)
            throws RefusedException, IOException, InterruptedException {
        try {
            return caller.readBody(bodyMemory, maximumBytes, deadlineNanos)
                    .orElseThrow(
                            () -> new RefusedException(Refusal.clientError(Refusal.BODY_TOO_LARGE, "body_too_large")));
        } catch (BodyTimeoutException late) {
            throw new RefusedException(Refusal.requestTimeout());
        } catch (BufferMemoryException full) {
            log.add("detail", full.getMessage());
            throw new RefusedException(Refusal.notRun("no_memory", jittered(RETRY_AFTER_FULL_UPSTREAM)));
        }
    }

    /**
     * Ends the request if its caller has left, so that no step after a slow one gives work to an upstream.
     *
     * @param step the step that is about to begin, for the log
     */
    private void checkCaller(String step) throws IOException {
        caller.probeConnection();
        if (caller.isDisconnected()) {
            throw new IOException("the caller disconnected: " + step);
        }
    }

    /** Ends a request whose prompt would crash the upstream that generates the answer. */
    private void checkPrompt(AdmittedRequest request, boolean mayHaveRun) throws RefusedException {
        boolean crashing = request.metadata()
                .prompt()
                .filter(prompt ->
                        services.crashes().isCrashing(request.service().name(), prompt))
                .isPresent();
        if (crashing) {
            throw new RefusedException(
                    mayHaveRun
                            ? Refusal.mayHaveRun(REASON_CRASHING_PROMPT)
                            : Refusal.notRun(REASON_CRASHING_PROMPT, RETRY_AFTER_CRASHING_PROMPT));
        }
    }

    private void checkShutdown(long deadlineNanos) throws RefusedException {
        if (!admission.admits(deadlineNanos)) {
            log.add(
                    "left_ms",
                    TimeUnit.NANOSECONDS.toMillis(
                            deadlineNanos - services.clock().nanoTime()));
            throw new RefusedException(Refusal.notRun(REASON_DRAINING, RETRY_AFTER_SHUTDOWN));
        }
    }

    private static ServiceName chooseService(RouteRule route) {
        int total = route.services().stream().mapToInt(ServiceShare::weight).sum();
        if (total <= 0) {
            return route.services().getFirst().service();
        }
        int point = ThreadLocalRandom.current().nextInt(total);
        for (ServiceShare share : route.services()) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return route.services().getLast().service();
    }

    private void forward(AdmittedRequest request) throws RefusedException, IOException, InterruptedException {
        checkPrompt(request, false);
        services.retries().recordRequest(request.service().name());
        UpstreamCallFactory calls = new UpstreamCallFactory(services, caller, request);
        Optional<SoftwareVersion> takenUpVersion = takenUpVersion(request);
        UpstreamSender sender = new UpstreamSender(services, caller, request, calls, log, streamStart(request));
        PrefillSender prefillSender = new PrefillSender(services, caller, calls, log);
        Set<UpstreamId> tried = new HashSet<>();
        Optional<UpstreamId> usableOnNewConnection = Optional.empty();
        UpstreamChooser chooser = new UpstreamChooser(services, request, log);
        chooser.requireVersion(takenUpVersion.or(() -> versionWithoutRecord(request)));
        PrefillResult prefilled = prefill(request, chooser, prefillSender);
        Optional<PrefilledCache> prefilledCache = prefilled.prefilledCache();
        Optional<Placement.Decision.Send> chosen = prefilled.decoder();
        int sends = 0;
        int refusals = 0;
        boolean mayHaveRun = false;
        Optional<SendOutcome.CompleteResponse> failure = Optional.empty();
        try {
            while (true) {
                if (!mayHaveRun) {
                    // The shutdown may have begun during prefill.
                    checkShutdown(request.deadlineNanos());
                }
                checkCaller("before_send");
                checkPrompt(request, mayHaveRun);
                if (sends + refusals > 0) {
                    chooser.requireVersion(
                            sender.requiredVersion(takenUpVersion).or(() -> versionWithoutRecord(request)));
                }
                Placement.Decision.Send choice;
                try {
                    choice = chosen.isPresent() ? chosen.get() : chooser.choose(tried, prefilledCache, mayHaveRun);
                } catch (RefusedException noUpstreamLeft) {
                    if (usableOnNewConnection.isPresent()) {
                        tried.remove(usableOnNewConnection.get());
                        usableOnNewConnection = Optional.empty();
                        continue;
                    }
                    if (failure.isEmpty()) {
                        throw noUpstreamLeft;
                    }
                    forwardResponse(failure.get());
                    return;
                }
                chosen = Optional.empty();
                tried.add(choice.candidate().entry().id());
                sends++;
                boolean mayHaveRunBefore = mayRun;
                mayRun = true;
                SendOutcome outcome = sender.send(choice, prefilledCache);
                if (outcome instanceof SendOutcome.NotRun) {
                    mayRun = mayHaveRunBefore;
                    // A refused send has not run anywhere, so it does not count against the route's attempts.
                    sends--;
                    refusals++;
                    if (refusals > 1) {
                        // Refused twice with the handle: the KV cache may be gone, so the next engine recomputes it.
                        prefilledCache.ifPresent(prefillSender::releaseCache);
                        prefilledCache = Optional.empty();
                    }
                } else {
                    prefilledCache = Optional.empty();
                }
                if (outcome instanceof SendOutcome.Unknown unknown) {
                    mayHaveRun = true;
                    if (unknown.staleConnection()) {
                        usableOnNewConnection =
                                Optional.of(choice.candidate().entry().id());
                    }
                }
                if (outcome instanceof SendOutcome.CompleteResponse response) {
                    mayHaveRun = true;
                    failure = Optional.of(response);
                }
                boolean mayRetry = sends < request.route().attempts() && refusals <= MAXIMUM_REFUSALS;
                if (handleOutcome(request, sender, outcome, mayRetry, mayHaveRun)) {
                    return;
                }
            }
        } finally {
            sender.close();
            prefilledCache.ifPresent(prefillSender::releaseCache);
        }
    }

    /**
     * Returns the software version at which the stream goes on that the caller takes up; empty if it begins one.
     *
     * @throws RefusedException if the version is not known, so that the stream could go on at another one
     */
    private Optional<SoftwareVersion> takenUpVersion(AdmittedRequest request) throws RefusedException {
        if (!request.route().hasResumableStreams() || !request.metadata().isTakeUp()) {
            return Optional.empty();
        }
        Optional<SoftwareVersion> version = services.streamVersions()
                .versionOf(
                        request.service().name(),
                        request.metadata().resumedAttempt(),
                        request.remaining(services.clock()));
        log.add("stream_version", version.map(SoftwareVersion::toString).orElse("unknown"));
        if (version.isEmpty()) {
            throw new RefusedException(Refusal.notRun("stream_version_unknown", jittered(RETRY_AFTER_UNKNOWN_VERSION)));
        }
        return version;
    }

    private Optional<StreamStart> streamStart(AdmittedRequest request) {
        return request.route().hasResumableStreams() && !request.metadata().isTakeUp()
                ? Optional.of(services.streamVersions()
                        .start(
                                request.service().name(),
                                new AttemptId(request.metadata().attempt())))
                : Optional.empty();
    }

    private Optional<SoftwareVersion> versionWithoutRecord(AdmittedRequest request) {
        return request.route().hasResumableStreams()
                ? services.streamVersions()
                        .versionWithoutRecord(request.service().name())
                : Optional.empty();
    }

    /**
     * Sends a long prompt to a prefill engine that meets its latency target, or chooses a decode engine with spare
     * capacity.
     */
    private PrefillResult prefill(AdmittedRequest request, UpstreamChooser chooser, PrefillSender prefillSender)
            throws RefusedException, IOException, InterruptedException {
        if (!chooser.needsPrefill()) {
            return PrefillResult.NONE;
        }
        checkCaller("before_prefill");
        Optional<UpstreamChooser.PrefillChoice> choice = chooser.choosePrefill();
        if (choice.isEmpty()) {
            return PrefillResult.NONE;
        }
        Placement.Decision.Send engine = choice.get().engine();
        return choice.get().generates()
                ? new PrefillResult(Optional.empty(), Optional.of(engine))
                : resultOf(request, prefillSender.prefill(engine));
    }

    /** Refuses a request whose prefill failed if the retry limit leaves no send to another engine. */
    private PrefillResult resultOf(AdmittedRequest request, PrefillOutcome outcome)
            throws RefusedException, IOException {
        return switch (outcome) {
            case PrefillOutcome.Cached cached -> new PrefillResult(Optional.of(cached.cache()), Optional.empty());
            case PrefillOutcome.NotSent notSent -> PrefillResult.NONE;
            case PrefillOutcome.Failed failed -> {
                checkCaller("after_prefill");
                if (!services.tryRetry(request.service().name())) {
                    throw new RefusedException(
                            Refusal.notRun("no_retry_after_prefill", jittered(RETRY_AFTER_FULL_UPSTREAM)));
                }
                yield PrefillResult.NONE;
            }
        };
    }

    /** Ends the request and returns true, or returns false if it should be sent to another upstream. */
    private boolean handleOutcome(
            AdmittedRequest request, UpstreamSender sender, SendOutcome outcome, boolean sendsLeft, boolean mayHaveRun)
            throws RefusedException, IOException {
        boolean timeLeft = request.remaining(services.clock()).toMillis() > 0;
        switch (outcome) {
            case SendOutcome.Delivered delivered -> {
                log.write(services.metrics(), routeName, 200, delivered.reason());
                return true;
            }
            case SendOutcome.CallerDisconnected disconnected ->
                throw new IOException("the caller disconnected: " + disconnected.reason());
            case SendOutcome.CompleteResponse response -> {
                boolean failed = response.status() >= 500;
                if (failed && timeLeft && request.route().isRepeatable() && mayRetry(request, sender, sendsLeft)) {
                    return false;
                }
                forwardResponse(response);
                return true;
            }
            case SendOutcome.NotRun refused -> {
                if (timeLeft && mayRetry(request, sender, sendsLeft)) {
                    return false;
                }
                log.add("detail", refused.reason());
                if (sender.hasStartedResponse()) {
                    throw new IOException("no upstream accepted the request to resume the stream");
                }
                throw new RefusedException(
                        mayHaveRun
                                ? Refusal.mayHaveRun("upstream_refused")
                                : Refusal.notRun("upstream_refused", jittered(RETRY_AFTER_FULL_UPSTREAM)));
            }
            case SendOutcome.Unknown lost -> {
                if (timeLeft && request.route().isRepeatable() && mayRetry(request, sender, sendsLeft)) {
                    return false;
                }
                log.add("detail", lost.reason());
                if (sender.hasStartedResponse()) {
                    throw new IOException("the upstream broke off the stream: " + lost.reason());
                }
                throw new RefusedException(timeLeft ? Refusal.mayHaveRun("upstream_failed") : Refusal.gatewayTimeout());
            }
        }
    }

    private void forwardResponse(SendOutcome.CompleteResponse response) throws IOException {
        if (caller.isCommitted()) {
            throw new IOException("resuming the stream failed: an upstream responded with status " + response.status());
        }
        caller.respond(response.status(), services.dialect().callerHeaders(response.headers()), response.body());
        log.write(services.metrics(), routeName, response.status(), response.reason());
    }

    private boolean mayRetry(AdmittedRequest request, UpstreamSender sender, boolean sendsLeft) {
        // A retry at the end of a shutdown would be aborted; without it the caller can go to another VM.
        boolean endsInTime = sender.hasStartedResponse() || !admission.isRefusingAll();
        return sendsLeft && endsInTime && services.tryRetry(request.service().name());
    }

    private void refuse(Refusal refusal, Optional<RequestMetadata> metadata) throws IOException {
        if (!mayRun) {
            giveBackAccountUnits();
        }
        List<HeaderField> headers = new ArrayList<>();
        metadata.ifPresent(known -> headers.addAll(services.dialect().gatewayResponseHeaders(known)));
        refusal.retryAfter().ifPresent(after -> headers.add(new HeaderField("Retry-After", seconds(after))));
        if (refusal.reason().equals(REASON_DRAINING) || !caller.discardBody()) {
            // The next request would be refused as well, or would fail because the server closes after an unread body.
            caller.closeAfterResponse();
        }
        if (caller.isCommitted()) {
            // The response has started, so only aborting it tells the caller that it is incomplete.
            log.write(services.metrics(), routeName, 0, refusal.reason());
            throw new IOException("the stream cannot be resumed: " + refusal.reason());
        }
        log.write(services.metrics(), routeName, refusal.status(), refusal.reason());
        caller.respond(refusal.status(), headers, new byte[0]);
    }

    private static String seconds(Duration duration) {
        return String.format(Locale.ROOT, "%.3f", duration.toMillis() / (double) TimeUnit.SECONDS.toMillis(1));
    }

    /** Adds up to 100% jitter, so that callers which are refused together do not retry together. */
    static Duration jittered(Duration minimum) {
        return minimum.plusMillis(ThreadLocalRandom.current().nextLong(minimum.toMillis() + 1));
    }

    /**
     * The result of prefill, which precedes the first send.
     *
     * @param prefilledCache the KV cache of the prompt, if a prefill engine has computed it
     * @param decoder the decode engine that computes it, if one has been chosen already
     */
    private record PrefillResult(Optional<PrefilledCache> prefilledCache, Optional<Placement.Decision.Send> decoder) {

        static final PrefillResult NONE = new PrefillResult(Optional.empty(), Optional.empty());
    }
}
