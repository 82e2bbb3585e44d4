package io.banyantally.internal.http;

import io.banyantally.internal.admission.AdmissionTicket;
import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.idempotency.CallIdentity;
import io.banyantally.internal.idempotency.CallLedger;
import io.banyantally.internal.idempotency.CallOutcome;
import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.routing.NoUpstreamException;
import io.banyantally.internal.routing.Route;
import io.banyantally.internal.routing.RoutingRequest;
import io.banyantally.internal.routing.RunningWork;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.UsageFigures;
import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.ServiceCall;
import io.banyantally.upstream.UpstreamException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** One admitted call to a plain service. */
final class PlainCall {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final UpstreamAccess upstreams;
    private final ClientAccountParameters account;
    private final ServiceName service;
    private final String method;
    private final String pathAndQuery;
    private final List<HeaderField> headers;
    private final byte[] body;
    private final Set<UpstreamId> failedUpstreams = new HashSet<>();

    PlainCall(
            UpstreamAccess upstreams,
            ClientAccountParameters account,
            ServiceName service,
            String method,
            String pathAndQuery,
            List<HeaderField> headers,
            byte[] body) {
        this.upstreams = upstreams;
        this.account = account;
        this.service = service;
        this.method = method;
        this.pathAndQuery = pathAndQuery;
        this.headers = headers;
        this.body = body;
    }

    /** Runs an idempotent call; retries failures on other upstreams as far as the retry budget allows. */
    ServiceAnswer runIdempotent(AdmissionTicket ticket) throws RequestFailedException, InterruptedException {
        while (true) {
            try {
                return sendOnce();
            } catch (NoUpstreamException none) {
                throw failedUpstreams.isEmpty()
                        ? RequestFailedException.notRun(ErrorType.NO_UPSTREAM, RETRY_AFTER, none.getMessage())
                        : RequestFailedException.mayHaveRun(ErrorType.UPSTREAM_FAILED, none.getMessage());
            } catch (UpstreamException failure) {
                if (!ticket.tryRetry()) {
                    throw failureOf(failure);
                }
            }
        }
    }

    /** Runs a non-idempotent call without retries, and at most once per idempotency key if there is one. */
    ServiceAnswer runAtMostOnce(CallLedger ledger, Optional<String> idempotencyKey)
            throws RequestFailedException, InterruptedException {
        if (idempotencyKey.isEmpty()) {
            return runWithoutIdempotencyKey();
        }
        CallIdentity identity = CallOutcomes.identity(account.account(), service, idempotencyKey.get());
        CallOutcome outcome = ledger.run(identity, requestHash(), this::sendForLedger);
        return CallOutcomes.answerOf(outcome, identity);
    }

    private ServiceAnswer runWithoutIdempotencyKey() throws RequestFailedException, InterruptedException {
        try {
            return sendOnce();
        } catch (NoUpstreamException none) {
            throw RequestFailedException.notRun(ErrorType.NO_UPSTREAM, RETRY_AFTER, none.getMessage());
        } catch (UpstreamException failure) {
            throw failureOf(failure);
        }
    }

    private ServiceAnswer sendForLedger() throws UpstreamException, InterruptedException {
        try {
            return sendOnce();
        } catch (NoUpstreamException none) {
            throw new NotSentException(none.getMessage(), none);
        }
    }

    /** Sends the call to one upstream. Upstreams that accept no new work are skipped, as nothing was sent to them. */
    private ServiceAnswer sendOnce() throws UpstreamException, NoUpstreamException, InterruptedException {
        while (true) {
            RoutingRequest request =
                    new RoutingRequest(service, Optional.empty(), "", new WorkEstimate(0, 0), failedUpstreams);
            try (Route route = upstreams.router().choose(request)) {
                Optional<RunningWork> work = beginWork(route);
                if (work.isPresent()) {
                    return sendTo(route, work.get());
                }
            }
        }
    }

    private ServiceAnswer sendTo(Route route, RunningWork work) throws UpstreamException, InterruptedException {
        try {
            ServiceCall call = new ServiceCall(upstreams.exchangeIds().next(), method, pathAndQuery, headers, body);
            ServiceAnswer answer =
                    upstreams.connector().plainService(route.upstream()).call(call);
            recordUsage();
            return answer;
        } catch (UpstreamException failure) {
            route.failed();
            failedUpstreams.add(route.upstream().id());
            throw failure;
        } finally {
            work.close();
        }
    }

    private Optional<RunningWork> beginWork(Route route) throws UpstreamException {
        try {
            Optional<RunningWork> work =
                    upstreams.gate().tryBegin(route.upstream().id());
            if (work.isEmpty()) {
                failedUpstreams.add(route.upstream().id());
            }
            return work;
        } catch (InvariantViolationException violation) {
            throw new NotSentException(violation.getMessage(), violation);
        }
    }

    private void recordUsage() throws InterruptedException {
        if (!account.account().equals(ServiceEndpoint.OPEN_ACCOUNT)) {
            upstreams.usage().recordBeforeDelivery(account.account(), new UsageFigures(0, 0, 1));
        }
    }

    private static RequestFailedException failureOf(UpstreamException failure) {
        return failure.mayHaveRun()
                ? RequestFailedException.mayHaveRun(ErrorType.OUTCOME_UNKNOWN, failure.getMessage())
                : RequestFailedException.notRun(ErrorType.CALL_NOT_RUN, RETRY_AFTER, failure.getMessage());
    }

    private String requestHash() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((method + " " + pathAndQuery + "\n").getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(body));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("SHA-256 is not available, although every JDK must provide it", impossible);
        }
    }
}
