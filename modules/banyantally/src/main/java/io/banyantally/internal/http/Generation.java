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
 * Runs one admitted generation: chooses an engine, passes tokens on after their usage is recorded, and goes on at another
 * engine after a failure.
 */
final class Generation {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final UpstreamAccess services;
    private final ClientAccountParameters account;
    private final ServiceName service;
    private final GenerationBody body;
    private final AdmissionTicket ticket;
    private final AnswerWriter writer;
    private final Set<UpstreamId> failed = new HashSet<>();
    private final StringBuilder delivered = new StringBuilder();
    private int nextIndex;
    private boolean mayHaveRun;

    Generation(
            UpstreamAccess services,
            ClientAccountParameters account,
            ServiceName service,
            GenerationBody body,
            AdmissionTicket ticket,
            AnswerWriter writer) {
        this.services = services;
        this.account = account;
        this.service = service;
        this.body = body;
        this.ticket = ticket;
        this.writer = writer;
    }

    /** Runs to the end of the answer or to its final failure. */
    void run() throws RequestRefusedException, IOException, InterruptedException {
        boolean ended = false;
        while (!ended) {
            try (Route route = chooseRoute()) {
                ended = runOn(route);
            }
        }
        ticket.finish(nextIndex);
    }

    private Route chooseRoute() throws RequestRefusedException {
        RoutingRequest request =
                new RoutingRequest(service, Optional.of(body.model()), body.prompt(), body.work(), failed);
        try {
            return services.router().choose(request);
        } catch (NoUpstreamException none) {
            if (!failed.isEmpty()) {
                recordFailure(none.getMessage());
            }
            throw failure(ErrorType.NO_UPSTREAM, none.getMessage());
        }
    }

    /** Returns true when the answer has ended, false when another upstream should go on. */
    private boolean runOn(Route route) throws RequestRefusedException, IOException, InterruptedException {
        UpstreamId upstream = route.upstream().id();
        Optional<RunningWork> work = begin(upstream);
        if (work.isEmpty()) {
            failed.add(upstream);
            return false;
        }
        try {
            return streamFrom(route);
        } finally {
            work.get().close();
        }
    }

    private boolean streamFrom(Route route) throws RequestRefusedException, IOException, InterruptedException {
        GenerationRequest request = nextRequest();
        new PrefillRunner(services).run(route, request);
        try (AnswerStream answer = services.connector().engine(route.upstream()).generate(request)) {
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

    private Optional<RunningWork> begin(UpstreamId upstream) throws RequestRefusedException {
        try {
            return services.gate().tryBegin(upstream);
        } catch (InvariantViolationException violation) {
            throw failure(ErrorType.INTERNAL_ERROR, "the request was stopped before it could break an invariant");
        }
    }

    private GenerationRequest nextRequest() {
        return new GenerationRequest(
                services.exchangeIds().next(),
                body.model(),
                body.adapter(),
                body.prompt(),
                body.maximumOutputTokens(),
                account.priority(),
                delivered.toString(),
                nextIndex);
    }

    private void deliver(AnswerChunk chunk, Route route) throws IOException, InterruptedException {
        route.tokenReceived();
        if (nextIndex == 0) {
            ticket.firstTokenSent();
        }
        services.usage().recordBeforeDelivery(account.account(), new UsageFigures(0, 1, 0));
        services.demand().addOutputTokens(service, 1);
        writer.token(chunk.text());
        delivered.append(chunk.text());
        nextIndex++;
    }

    private void deliverEnd(AnswerChunk chunk) throws IOException, InterruptedException {
        services.demand().addPromptTokens(service, chunk.promptTokens() - chunk.cachedTokens());
        services.usage().recordBeforeDelivery(account.account(), new UsageFigures(chunk.promptTokens(), 0, 1));
        writer.end(new GenerationResult(chunk.promptTokens(), chunk.cachedTokens(), nextIndex));
    }

    private void prepareResume(UpstreamId upstream, UpstreamException failure) throws RequestRefusedException {
        failed.add(upstream);
        mayHaveRun |= failure.mayHaveRun();
        if (!ticket.tryRetry()) {
            recordFailure(failure.getMessage());
            throw failure(ErrorType.UPSTREAM_FAILED, "the upstream failed and the retry budget is used up");
        }
        services.timeline()
                .record(
                        EventKind.REQUEST_RESUMED,
                        EventField.of("account", account.account()),
                        EventField.of("from", upstream),
                        EventField.of("tokens", nextIndex),
                        EventField.of("reason", failure.getMessage()));
    }

    private void recordFailure(String reason) {
        services.timeline()
                .record(
                        EventKind.REQUEST_FAILED,
                        EventField.of("account", account.account()),
                        EventField.of("tried", failed),
                        EventField.of("tokens", nextIndex),
                        EventField.of("reason", reason));
    }

    private RequestRefusedException failure(ErrorType typeIfNotRun, String message) {
        return mayHaveRun
                ? RequestRefusedException.mayHaveRun(ErrorType.UPSTREAM_FAILED, message)
                : RequestRefusedException.notRun(typeIfNotRun, RETRY_AFTER, message);
    }
}
