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

    private final UpstreamAccess services;
    private final ClientAccountParameters account;
    private final ServiceName service;
    private final String method;
    private final String pathAndQuery;
    private final List<HeaderField> headers;
    private final byte[] body;
    private final Set<UpstreamId> failed = new HashSet<>();

    PlainCall(
            UpstreamAccess services,
            ClientAccountParameters account,
            ServiceName service,
            String method,
            String pathAndQuery,
            List<HeaderField> headers,
            byte[] body) {
        this.services = services;
        this.account = account;
        this.service = service;
        this.method = method;
        this.pathAndQuery = pathAndQuery;
        this.headers = headers;
        this.body = body;
    }

    /** Runs an idempotent call; after a failure it is repeated at another upstream while the retry budget lasts. */
    ServiceAnswer runRepeatable(AdmissionTicket ticket) throws RequestRefusedException, InterruptedException {
        while (true) {
            try {
                return sendOnce();
            } catch (NoUpstreamException none) {
                throw failed.isEmpty()
                        ? RequestRefusedException.notRun(ErrorType.NO_UPSTREAM, RETRY_AFTER, none.getMessage())
                        : RequestRefusedException.mayHaveRun(ErrorType.UPSTREAM_FAILED, none.getMessage());
            } catch (UpstreamException failure) {
                if (!ticket.tryRetry()) {
                    throw failureOf(failure);
                }
            }
        }
    }

    /** Runs a non-idempotent call: at most once, and at most once for an idempotency key if there is one. */
    ServiceAnswer runOnce(CallLedger ledger, Optional<String> idempotencyKey)
            throws RequestRefusedException, InterruptedException {
        if (idempotencyKey.isEmpty()) {
            return runWithoutIdentity();
        }
        CallIdentity identity = CallOutcomes.identity(account.account(), service, idempotencyKey.get());
        CallOutcome outcome = ledger.run(identity, requestHash(), this::sendForLedger);
        return CallOutcomes.answerOf(outcome, identity);
    }

    private ServiceAnswer runWithoutIdentity() throws RequestRefusedException, InterruptedException {
        try {
            return sendOnce();
        } catch (NoUpstreamException none) {
            throw RequestRefusedException.notRun(ErrorType.NO_UPSTREAM, RETRY_AFTER, none.getMessage());
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

    /** Sends the call to one upstream. An upstream that takes no new work gets no byte of it, so another is chosen. */
    private ServiceAnswer sendOnce() throws UpstreamException, NoUpstreamException, InterruptedException {
        while (true) {
            RoutingRequest request = new RoutingRequest(service, Optional.empty(), "", new WorkEstimate(0, 0), failed);
            try (Route route = services.router().choose(request)) {
                Optional<RunningWork> work = begin(route);
                if (work.isPresent()) {
                    return sendTo(route, work.get());
                }
            }
        }
    }

    private ServiceAnswer sendTo(Route route, RunningWork work) throws UpstreamException, InterruptedException {
        try {
            ServiceCall call = new ServiceCall(services.exchangeIds().next(), method, pathAndQuery, headers, body);
            ServiceAnswer answer =
                    services.connector().plainService(route.upstream()).call(call);
            recordUsage();
            return answer;
        } catch (UpstreamException failure) {
            route.failed();
            failed.add(route.upstream().id());
            throw failure;
        } finally {
            work.close();
        }
    }

    private Optional<RunningWork> begin(Route route) throws UpstreamException {
        try {
            Optional<RunningWork> work =
                    services.gate().tryBegin(route.upstream().id());
            if (work.isEmpty()) {
                failed.add(route.upstream().id());
            }
            return work;
        } catch (InvariantViolationException violation) {
            throw new NotSentException(violation.getMessage(), violation);
        }
    }

    private void recordUsage() throws InterruptedException {
        if (!account.account().equals(ServiceEndpoint.OPEN_ACCOUNT)) {
            services.usage().recordBeforeDelivery(account.account(), new UsageFigures(0, 0, 1));
        }
    }

    private static RequestRefusedException failureOf(UpstreamException failure) {
        return failure.mayHaveRun()
                ? RequestRefusedException.mayHaveRun(ErrorType.OUTCOME_UNKNOWN, failure.getMessage())
                : RequestRefusedException.notRun(ErrorType.CALL_NOT_RUN, RETRY_AFTER, failure.getMessage());
    }

    private String requestHash() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((method + " " + pathAndQuery + "\n").getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(body));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("every JDK has SHA-256", impossible);
        }
    }
}
