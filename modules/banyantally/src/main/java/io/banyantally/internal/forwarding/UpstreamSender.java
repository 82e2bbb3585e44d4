package io.banyantally.internal.forwarding;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PrefilledCache;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.RequestKind;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.internal.adapter.ExchangeException;
import io.banyantally.internal.adapter.HttpExchange;
import io.banyantally.internal.adapter.NothingSentException;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.placement.UpstreamTrack;
import io.banyantally.upstream.HeaderField;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;

/** Sends one request to upstreams, one after the other, and passes a stream on to the caller. */
final class UpstreamSender {

    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final int SUCCESS_FIRST = 200;
    private static final int SUCCESS_LAST = 299;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int COPY_BYTES = 16 * 1024;

    /** Answers of plain services are kept whole before they are passed on, so that a torn one is not passed on. */
    private static final int LARGEST_WHOLE_ANSWER = 8 * 1024 * 1024;

    /** How long the end of an answer may take after its last byte of content. */
    private static final Duration FINISH_TIME = Duration.ofMillis(200);

    private final ForwardingServices services;
    private final CallerExchange caller;
    private final AdmittedRequest request;
    private final UpstreamCalls calls;
    private final RequestLog log;
    private Optional<OutputStream> answer = Optional.empty();
    private OptionalLong lastEvent;
    private boolean counted;
    private int sends;

    UpstreamSender(
            ForwardingServices services,
            CallerExchange caller,
            AdmittedRequest request,
            UpstreamCalls calls,
            RequestLog log) {
        this.services = services;
        this.caller = caller;
        this.request = request;
        this.calls = calls;
        this.log = log;
        this.lastEvent = request.facts().lastEvent();
    }

    /** Returns whether the caller has received a part of the answer. */
    boolean hasDelivered() {
        return answer.isPresent();
    }

    /** Sends the request to the chosen upstream and waits for the end of the answer. */
    SendOutcome send(Placement.Decision.Send choice, Optional<PrefilledCache> handOver) throws InterruptedException {
        ReplicaEntry upstream = choice.candidate().entry();
        UpstreamTrack track = services.tracks().of(upstream);
        sends++;
        long began = services.clock().nanoTime();
        track.recordSent(choice.work(), began);
        SendOutcome outcome;
        try {
            outcome = exchange(upstream, track, began, handOver);
        } finally {
            track.recordEnd(choice.work(), began);
            caller.clearWhenGone();
        }
        judge(track, outcome);
        log.add("upstream" + sends, upstream.id());
        log.addPlacement("placed" + sends, choice);
        log.addResult("result" + sends, outcome.reason(), began);
        return outcome;
    }

    private void judge(UpstreamTrack track, SendOutcome outcome) {
        switch (outcome) {
            case SendOutcome.Delivered delivered -> services.tracks().succeeded(track);
            case SendOutcome.Answered answered -> {
                if (answered.status() >= 500) {
                    // Applications fail requests of their own accord; only what never succeeds counts.
                    track.health().recordInconclusive();
                } else {
                    services.tracks().succeeded(track);
                }
            }
            case SendOutcome.Unknown unknown -> {
                if (services.clock().nanoTime() < request.deadline()) {
                    services.failed(track, unknown.reason());
                } else {
                    track.health().recordInconclusive();
                }
            }
            case SendOutcome.NotRun refused -> {
                if (refused.reason().equals("not_connected") || refused.reason().equals("other_instance")) {
                    services.failed(track, refused.reason());
                } else {
                    track.recordRefusal(services.clock().nanoTime());
                    track.health().recordInconclusive();
                }
            }
            case SendOutcome.CallerGone gone -> track.health().recordInconclusive();
        }
    }

    private SendOutcome exchange(
            ReplicaEntry upstream, UpstreamTrack track, long sentAt, Optional<PrefilledCache> handOver)
            throws InterruptedException {
        Duration remaining = calls.remaining();
        if (!remaining.isPositive()) {
            return new SendOutcome.NotRun("no_time_left");
        }
        try (HttpExchange exchange =
                services.client().prepare(calls.call(upstream, remaining, handOver, EngineStage.NONE))) {
            if (request.route().kind() != RequestKind.NON_IDEMPOTENT) {
                caller.whenGone(exchange::close);
            }
            exchange.awaitHeaders();
            return receive(exchange, track, sentAt);
        } catch (NothingSentException unsent) {
            return caller.isGone()
                    ? new SendOutcome.CallerGone("before_send")
                    : new SendOutcome.NotRun("not_connected");
        } catch (ExchangeException failure) {
            return caller.isGone() ? new SendOutcome.CallerGone("during_run") : new SendOutcome.Unknown("no_answer");
        }
    }

    private SendOutcome receive(HttpExchange exchange, UpstreamTrack track, long sentAt) throws InterruptedException {
        int status = exchange.status();
        List<HeaderField> headers = exchange.headers();
        ResponseMetadata facts = services.dialect().readResponse(status, headers);
        facts.load().ifPresent(load -> track.recordLoad(load, services.clock().nanoTime()));
        boolean crossed = facts.attempt().isPresent()
                && !facts.attempt().get().equals(request.facts().attempt());
        if (crossed) {
            return new SendOutcome.Unknown("crossed_answer");
        }
        if (facts.otherInstance()) {
            drain(exchange);
            return new SendOutcome.NotRun("other_instance");
        }
        if (facts.notExecuted()) {
            drain(exchange);
            return new SendOutcome.NotRun("upstream_" + status);
        }
        boolean success = status >= SUCCESS_FIRST && status <= SUCCESS_LAST;
        if (success && !facts.signed()) {
            return new SendOutcome.Unknown("unsigned_answer");
        }
        if (success && facts.attempt().isEmpty()) {
            // Upstreams echo the attempt; without it these may be late bytes of another answer.
            return new SendOutcome.Unknown("unnamed_answer");
        }
        if (!success && (status == Refusal.UNAVAILABLE || status == TOO_MANY_REQUESTS)) {
            // Passed on, this status would promise that the request has not run, which the upstream does not say.
            return new SendOutcome.Unknown("upstream_" + status);
        }
        return success && request.route().kind() == RequestKind.STREAMING
                ? stream(exchange, status, headers, track, sentAt)
                : whole(exchange, status, headers);
    }

    /** Reads the body of a refusal, so that its connection can be used again; a long or slow one costs the connection. */
    private void drain(HttpExchange exchange) throws InterruptedException {
        AtomicBoolean read = new AtomicBoolean();
        Thread reader = Thread.ofVirtual().name("refusal-reader").start(() -> read.set(readRefusal(exchange)));
        if (reader.join(FINISH_TIME) && read.get()) {
            exchange.finish(FINISH_TIME);
        } else {
            log.add("refusal_torn", sends);
        }
    }

    private static boolean readRefusal(HttpExchange exchange) {
        try (InputStream body = exchange.body()) {
            return body.readNBytes(COPY_BYTES).length < COPY_BYTES;
        } catch (IOException broken) {
            return false;
        }
    }

    private SendOutcome whole(HttpExchange exchange, int status, List<HeaderField> headers)
            throws InterruptedException {
        countRun();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[COPY_BYTES];
        try (InputStream body = exchange.body()) {
            for (int count = body.read(buffer); count >= 0; count = body.read(buffer)) {
                bytes.write(buffer, 0, count);
                if (bytes.size() > LARGEST_WHOLE_ANSWER) {
                    return new SendOutcome.Unknown("answer_too_large");
                }
            }
        } catch (IOException cut) {
            return caller.isGone() ? new SendOutcome.CallerGone("during_run") : new SendOutcome.Unknown("answer_cut");
        }
        log.answerBegan();
        exchange.finish(FINISH_TIME);
        return new SendOutcome.Answered(
                status, headers, bytes.toByteArray(), status >= 500 ? "upstream_error" : "served");
    }

    private SendOutcome stream(
            HttpExchange exchange, int status, List<HeaderField> headers, UpstreamTrack track, long sentAt)
            throws InterruptedException {
        EventAssembler events = new EventAssembler(lastEvent);
        byte[] buffer = new byte[COPY_BYTES];
        long beganAt = 0;
        try (InputStream body = exchange.body()) {
            for (int count = read(body, buffer); count >= 0; count = read(body, buffer)) {
                countRun();
                if (beganAt == 0) {
                    beganAt = services.clock().nanoTime();
                    track.recordAnswerBegun(sentAt);
                }
                Optional<byte[]> whole = events.add(buffer, count);
                if (whole.isPresent()) {
                    deliver(status, headers, whole.get());
                    lastEvent = events.lastEvent();
                    calls.resumeAfter(lastEvent);
                }
                if (events.isEventTooLong()) {
                    return new SendOutcome.Unknown("event_too_long");
                }
            }
            if (events.takeRest().length > 0) {
                return new SendOutcome.Unknown("torn_event");
            }
            if (answer.isEmpty()) {
                return new SendOutcome.Unknown("no_event");
            }
            exchange.finish(FINISH_TIME);
            answer.get().close();
            return new SendOutcome.Delivered("served");
        } catch (UpstreamCutException cut) {
            return caller.isGone()
                    ? new SendOutcome.CallerGone("during_stream")
                    : new SendOutcome.Unknown("stream_cut");
        } catch (IOException callerCut) {
            return new SendOutcome.CallerGone("during_delivery");
        } finally {
            if (beganAt != 0) {
                track.recordSlotTime((services.clock().nanoTime() - beganAt) / NANOS_PER_MILLI);
            }
        }
    }

    private static int read(InputStream body, byte[] buffer) throws UpstreamCutException {
        try {
            return body.read(buffer);
        } catch (IOException cut) {
            throw new UpstreamCutException(cut);
        }
    }

    private void deliver(int status, List<HeaderField> headers, byte[] events) throws IOException {
        if (answer.isEmpty()) {
            log.answerBegan();
            answer = Optional.of(caller.startAnswer(status, services.dialect().callerHeaders(headers)));
        }
        answer.get().write(events);
    }

    private void countRun() {
        if (!counted) {
            counted = true;
            request.account().ifPresent(services.usage()::began);
        }
    }

    /** The upstream broke off its answer. */
    private static final class UpstreamCutException extends IOException {

        private static final long serialVersionUID = 1L;

        UpstreamCutException(IOException cause) {
            super(cause);
        }
    }
}
