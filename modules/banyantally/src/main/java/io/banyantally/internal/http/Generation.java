package io.banyantally.internal.http;

import io.banyantally.internal.admission.AdmissionTicket;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.routing.NoUpstreamException;
import io.banyantally.internal.routing.Route;
import io.banyantally.internal.routing.RoutingRequest;
import io.banyantally.internal.routing.RunningWork;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.UsageFigures;
import io.banyantally.upstream.AnswerChunk;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.GenerationRequest;
import io.banyantally.upstream.UpstreamException;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Runs one admitted generation: chooses an engine, delivers each token after its usage is recorded, and resumes on
 * another engine after a failure.
 */
final class Generation {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final UpstreamAccess upstreams;
    private final ClientAccountParameters account;
    private final ServiceName service;
    private final GenerationBody body;
    private final AdmissionTicket ticket;
    private final AnswerWriter writer;
    private final Set<UpstreamId> failedUpstreams = new HashSet<>();
    private final StringBuilder deliveredText = new StringBuilder();
    private int nextTokenIndex;
    private boolean mayHaveRun;

    Generation(
            UpstreamAccess upstreams,
            ClientAccountParameters account,
            ServiceName service,
            GenerationBody body,
            AdmissionTicket ticket,
            AnswerWriter writer) {
        this.upstreams = upstreams;
        this.account = account;
        this.service = service;
        this.body = body;
        this.ticket = ticket;
        this.writer = writer;
    }

    /** Runs until the answer is complete; throws if it cannot be completed. */
    void run() throws RequestFailedException, IOException, InterruptedException {
        boolean ended = false;
        while (!ended) {
            try (Route route = chooseRoute()) {
                ended = runOn(route);
            }
        }
        ticket.finish(nextTokenIndex);
    }

    private Route chooseRoute() throws RequestFailedException {
        RoutingRequest request =
                new RoutingRequest(service, Optional.of(body.model()), body.prompt(), body.work(), failedUpstreams);
        try {
            return upstreams.router().choose(request);
        } catch (NoUpstreamException none) {
            if (!failedUpstreams.isEmpty()) {
                recordFailure(none.getMessage());
            }
            throw failure(ErrorType.NO_UPSTREAM, none.getMessage());
        }
    }

    /** Returns true if the answer is complete, false if it is to be resumed on another upstream. */
    private boolean runOn(Route route) throws RequestFailedException, IOException, InterruptedException {
        UpstreamId upstream = route.upstream().id();
        Optional<RunningWork> work = beginWork(upstream);
        if (work.isEmpty()) {
            failedUpstreams.add(upstream);
            return false;
        }
        try {
            return streamFrom(route);
        } finally {
            work.get().close();
        }
    }

    private boolean streamFrom(Route route) throws RequestFailedException, IOException, InterruptedException {
        GenerationRequest request = nextRequest();
        new PrefillRunner(upstreams).run(route, request);
        try (AnswerStream answer =
                upstreams.connector().engine(route.upstream()).generate(request)) {
            while (true) {
                AnswerChunk chunk = answer.next();
                if (chunk.last()) {
                    deliverEnd(chunk);
                    return true;
                }
                deliver(chunk, route);
            }
        } catch (UpstreamException failure) {
            route.failed();
            prepareResume(route.upstream().id(), failure);
            return false;
        }
    }

    private Optional<RunningWork> beginWork(UpstreamId upstream) throws RequestFailedException {
        try {
            return upstreams.gate().tryBegin(upstream);
        } catch (InvariantViolationException violation) {
            throw failure(
                    ErrorType.INTERNAL_ERROR,
                    "an invariant check stopped the request before it was sent to the upstream");
        }
    }

    private GenerationRequest nextRequest() {
        return new GenerationRequest(
                upstreams.exchangeIds().next(),
                body.model(),
                body.adapter(),
                body.prompt(),
                body.maximumOutputTokens(),
                account.priority(),
                deliveredText.toString(),
                nextTokenIndex);
    }

    private void deliver(AnswerChunk chunk, Route route) throws IOException, InterruptedException {
        route.tokenReceived();
        if (nextTokenIndex == 0) {
            ticket.firstTokenSent();
        }
        upstreams.usage().recordBeforeDelivery(account.account(), new UsageFigures(0, 1, 0));
        upstreams.demand().addOutputTokens(service, 1);
        writer.writeToken(chunk.text());
        deliveredText.append(chunk.text());
        nextTokenIndex++;
    }

    private void deliverEnd(AnswerChunk chunk) throws IOException, InterruptedException {
        upstreams.demand().addPromptTokens(service, chunk.promptTokens() - chunk.cachedTokens());
        upstreams.usage().recordBeforeDelivery(account.account(), new UsageFigures(chunk.promptTokens(), 0, 1));
        writer.writeEnd(new GenerationResult(chunk.promptTokens(), chunk.cachedTokens(), nextTokenIndex));
    }

    private void prepareResume(UpstreamId upstream, UpstreamException failure) throws RequestFailedException {
        failedUpstreams.add(upstream);
        mayHaveRun |= failure.mayHaveRun();
        if (!ticket.tryRetry()) {
            recordFailure(failure.getMessage());
            throw failure(ErrorType.UPSTREAM_FAILED, "the upstream failed and the retry budget is used up");
        }
        upstreams
                .timeline()
                .record(
                        EventKind.REQUEST_RESUMED,
                        EventField.of("account", account.account()),
                        EventField.of("from", upstream),
                        EventField.of("tokens", nextTokenIndex),
                        EventField.of("reason", failure.getMessage()));
    }

    private void recordFailure(String reason) {
        upstreams
                .timeline()
                .record(
                        EventKind.REQUEST_FAILED,
                        EventField.of("account", account.account()),
                        EventField.of("tried", failedUpstreams),
                        EventField.of("tokens", nextTokenIndex),
                        EventField.of("reason", reason));
    }

    private RequestFailedException failure(ErrorType typeIfNotRun, String message) {
        return mayHaveRun
                ? RequestFailedException.mayHaveRun(ErrorType.UPSTREAM_FAILED, message)
                : RequestFailedException.notRun(typeIfNotRun, RETRY_AFTER, message);
    }
}
