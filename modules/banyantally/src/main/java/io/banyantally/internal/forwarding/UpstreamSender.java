package io.banyantally.internal.forwarding;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PrefilledCache;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.RequestKind;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.internal.adapter.ExchangeException;
import io.banyantally.internal.adapter.ForeignResponseException;
import io.banyantally.internal.adapter.HttpExchange;
import io.banyantally.internal.adapter.NothingSentException;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.placement.UpstreamTrack;
import io.banyantally.internal.streams.StreamStart;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.upstream.HeaderField;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

/** Sends one request to upstreams, one after the other, and streams event responses to the caller. */
final class UpstreamSender implements AutoCloseable {

    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final int SUCCESS_FIRST = 200;
    private static final int SUCCESS_LAST = 299;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final String NO_ANSWER = "no_answer";

    /** The stream could not be recorded at the software version of the upstream, which did not fail. */
    private static final String NOT_RECORDED = "version_not_recorded";

    /** Responses of plain services are buffered before they are forwarded, so that the caller gets no truncated one. */
    private static final int MAXIMUM_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** How long the end of a response may take after its last byte of content. */
    private static final Duration RESPONSE_END_TIMEOUT = Duration.ofMillis(200);

    private final ForwardingServices services;
    private final CallerExchange caller;
    private final AdmittedRequest request;
    private final UpstreamCallFactory calls;
    private final RequestLog log;

    /** Empty if the stream began with an earlier attempt, or can't go on at another upstream. */
    private final Optional<StreamStart> streamStart;

    private final List<BufferMemory.Reservation> responseMemory = new ArrayList<>();
    private Optional<OutputStream> callerStream = Optional.empty();
    private int startedStatus;
    private Optional<SoftwareVersion> startedVersion = Optional.empty();
    private OptionalLong lastEventId;
    private boolean runCounted;
    private int sends;

    UpstreamSender(
            ForwardingServices services,
            CallerExchange caller,
            AdmittedRequest request,
            UpstreamCallFactory calls,
            RequestLog log,
            Optional<StreamStart> streamStart) {
        this.services = services;
        this.caller = caller;
        this.request = request;
        this.calls = calls;
        this.log = log;
        this.streamStart = streamStart;
        this.lastEventId = request.metadata().lastEventId();
    }

    /** Returns whether a part of the response was sent to the caller. */
    boolean hasStartedResponse() {
        return callerStream.isPresent();
    }

    /**
     * Returns the software version to which the request may be sent again; empty if any may serve it.
     *
     * @param required the version at which the stream of an earlier attempt goes on
     */
    Optional<SoftwareVersion> requiredVersion(Optional<SoftwareVersion> required) {
        return startedVersion
                .or(() -> streamStart.flatMap(StreamStart::requiredVersion))
                .or(() -> required);
    }

    /** Sends the request to the chosen upstream and waits for the end of the response. */
    SendOutcome send(Placement.Decision.Send choice, Optional<PrefilledCache> prefilledCache)
            throws InterruptedException {
        ReplicaEntry upstream = choice.candidate().entry();
        UpstreamTrack track = services.tracks().of(upstream);
        sends++;
        long startedAt = services.clock().nanoTime();
        track.recordSent(choice.work(), startedAt);
        if (!hasStartedResponse()) {
            streamStart.ifPresent(start -> start.recordVersion(upstream.version()));
        }
        SendOutcome outcome;
        try {
            outcome = exchange(upstream, track, startedAt, prefilledCache);
        } finally {
            track.recordEnd(choice.work(), startedAt);
            caller.clearDisconnectAction();
        }
        recordOutcome(track, outcome, startedAt);
        recordPrompt(upstream, outcome);
        log.add("upstream" + sends, upstream.id());
        if (request.route().kind() == RequestKind.STREAMING) {
            log.add("version" + sends, upstream.version());
        }
        log.addPlacement("placed" + sends, choice);
        log.addResult("result" + sends, outcome.reason(), startedAt);
        services.metrics().counter("sends." + outcome.reason()).inc();
        if (outcome instanceof SendOutcome.Unknown) {
            request.metadata().prompt().ifPresent(prompt -> log.add("prompt" + sends, describe(prompt)));
        }
        return outcome;
    }

    /** Returns the ids of the parts of a prompt, without the last one, which no other request has. */
    private static String describe(PromptMetadata prompt) {
        return prompt.parts().stream()
                .limit(Math.max(0, prompt.parts().size() - 1))
                .map(PromptPart::id)
                .collect(Collectors.joining("/"));
    }

    private void recordOutcome(UpstreamTrack track, SendOutcome outcome, long startedAt) {
        switch (outcome) {
            case SendOutcome.Delivered delivered -> services.tracks().succeeded(track);
            case SendOutcome.CompleteResponse response -> {
                if (response.status() >= 500) {
                    // The error may come from the application, so it counts neither as a failure of the upstream nor as
                    // a success.
                    track.health().recordInconclusive();
                } else {
                    services.tracks().succeeded(track);
                }
            }
            case SendOutcome.Unknown unknown -> {
                if (unknown.reason().equals(NOT_RECORDED)) {
                    track.health().recordInconclusive();
                    return;
                }
                // An upstream that is silent until the deadline may be down.
                if (unknown.reason().equals(NO_ANSWER) || services.clock().nanoTime() < request.deadlineNanos()) {
                    services.recordFailure(track, unknown.reason());
                } else {
                    track.health().recordInconclusive();
                }
            }
            case SendOutcome.NotRun refused -> {
                if (refused.reason().equals(ForwardingServices.NOT_CONNECTED)
                        || refused.reason().equals("other_instance")) {
                    services.recordFailure(track, refused.reason());
                } else if (refused.reason().equals(ForwardingServices.LEFT_BEFORE_SEND)) {
                    track.health().recordInconclusive();
                } else {
                    track.recordRefusal(startedAt, services.clock().nanoTime());
                    track.health().recordInconclusive();
                }
            }
            case SendOutcome.CallerDisconnected disconnected -> track.health().recordInconclusive();
        }
    }

    /** Records whether the upstream served the prompt, or broke off while it had the prompt. */
    private void recordPrompt(ReplicaEntry upstream, SendOutcome outcome) {
        if (request.metadata().prompt().isEmpty()) {
            return;
        }
        PromptMetadata prompt = request.metadata().prompt().get();
        if (outcome instanceof SendOutcome.Delivered) {
            services.crashes().recordServed(upstream.service(), prompt);
        } else if (outcome instanceof SendOutcome.Unknown unknown
                && !unknown.reason().equals(NOT_RECORDED)
                && services.clock().nanoTime() < request.deadlineNanos()) {
            services.crashReporter().recordBrokenOff(upstream, prompt);
        }
    }

    private SendOutcome exchange(
            ReplicaEntry upstream, UpstreamTrack track, long sentAt, Optional<PrefilledCache> prefilledCache)
            throws InterruptedException {
        Duration remaining = calls.remaining();
        if (!remaining.isPositive()) {
            return new SendOutcome.NotRun("no_time_left");
        }
        try (HttpExchange exchange =
                services.client().prepare(calls.createCall(upstream, remaining, prefilledCache, EngineStage.NONE))) {
            if (request.route().kind() != RequestKind.NON_IDEMPOTENT) {
                caller.onDisconnect(exchange::close);
            }
            try {
                exchange.awaitHeaders();
                return receive(exchange, upstream, track, sentAt);
            } catch (ForeignResponseException foreign) {
                return caller.isDisconnected()
                        ? new SendOutcome.CallerDisconnected("during_run")
                        : new SendOutcome.Unknown(foreign.reason(), exchange.usesKeptConnection());
            } finally {
                log.add("connection" + sends, exchange.usesKeptConnection() ? "kept" : "new");
            }
        } catch (NothingSentException unsent) {
            return caller.isDisconnected()
                    ? new SendOutcome.CallerDisconnected("before_send")
                    : new SendOutcome.NotRun(services.unsentReason(upstream));
        } catch (ExchangeException failure) {
            return caller.isDisconnected()
                    ? new SendOutcome.CallerDisconnected("during_run")
                    : new SendOutcome.Unknown(NO_ANSWER);
        }
    }

    private SendOutcome receive(HttpExchange exchange, ReplicaEntry upstream, UpstreamTrack track, long sentAt)
            throws InterruptedException {
        int status = exchange.status();
        List<HeaderField> headers = exchange.headers();
        ResponseMetadata metadata = services.dialect().readResponse(status, headers);
        metadata.load()
                .ifPresent(load -> track.recordLoad(load, services.clock().nanoTime()));
        services.notices().record(upstream, metadata, request.metadata().attempt());
        services.limits().record(upstream, metadata, request.metadata().attempt(), sentAt);
        switch (ResponseStatement.of(status, metadata)) {
            case ResponseStatement.NotRun notRun -> {
                drainRefusal(exchange);
                return new SendOutcome.NotRun(notRun.reason());
            }
            case ResponseStatement.MayHaveRun unclear -> {
                return new SendOutcome.Unknown(unclear.reason());
            }
            case ResponseStatement.Ran ran -> {}
        }
        boolean success = status >= SUCCESS_FIRST && status <= SUCCESS_LAST;
        if (success && callerStream.isPresent() && status != startedStatus) {
            return new SendOutcome.Unknown("other_status");
        }
        return success && request.route().kind() == RequestKind.STREAMING
                ? receiveStream(exchange, status, headers, track, upstream.version(), sentAt)
                : receiveBuffered(exchange, status, headers);
    }

    /** Reads the body of a refusal, so that the connection can be reused; after a long or slow body it is closed. */
    private void drainRefusal(HttpExchange exchange) throws InterruptedException {
        AtomicBoolean read = new AtomicBoolean();
        Thread reader = Thread.ofVirtual().name("refusal-reader").start(() -> read.set(readRefusal(exchange)));
        if (reader.join(RESPONSE_END_TIMEOUT) && read.get()) {
            exchange.finish(RESPONSE_END_TIMEOUT);
        } else {
            log.add("refusal_torn", sends);
        }
    }

    private static boolean readRefusal(HttpExchange exchange) {
        try (InputStream body = exchange.body()) {
            return body.readNBytes(BUFFER_BYTES).length < BUFFER_BYTES;
        } catch (IOException broken) {
            return false;
        }
    }

    private SendOutcome receiveBuffered(HttpExchange exchange, int status, List<HeaderField> headers)
            throws InterruptedException {
        countRun();
        BodyBuffer bytes = new BodyBuffer(reserveMemory());
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream body = exchange.body()) {
            for (int count = body.read(buffer); count >= 0; count = body.read(buffer)) {
                bytes.write(ByteBuffer.wrap(buffer, 0, count));
                if (bytes.size() > MAXIMUM_BUFFERED_RESPONSE_BYTES) {
                    return new SendOutcome.Unknown("answer_too_large");
                }
            }
        } catch (BufferMemoryException full) {
            return new SendOutcome.Unknown("answer_memory");
        } catch (IOException disconnected) {
            return caller.isDisconnected()
                    ? new SendOutcome.CallerDisconnected("during_run")
                    : new SendOutcome.Unknown("answer_cut");
        }
        log.responseStarted();
        exchange.finish(RESPONSE_END_TIMEOUT);
        return new SendOutcome.CompleteResponse(
                status, headers, bytes.takeBytes(), status >= 500 ? "upstream_error" : "served");
    }

    /** Returns a reservation that lasts until the request ends, as its response is written to the caller until then. */
    private BufferMemory.Reservation reserveMemory() {
        BufferMemory.Reservation reservation = services.responseMemory().open();
        responseMemory.add(reservation);
        return reservation;
    }

    /** Frees the memory of all responses. */
    @Override
    public void close() {
        responseMemory.forEach(BufferMemory.Reservation::close);
    }

    private SendOutcome receiveStream(
            HttpExchange exchange,
            int status,
            List<HeaderField> headers,
            UpstreamTrack track,
            SoftwareVersion version,
            long sentAt)
            throws InterruptedException {
        EventAssembler events = new EventAssembler(lastEventId);
        BufferMemory.Reservation memory = reserveMemory();
        byte[] buffer = new byte[BUFFER_BYTES];
        long firstByteAt = 0;
        try (InputStream body = exchange.body()) {
            for (int count = read(body, buffer); count >= 0; count = read(body, buffer)) {
                countRun();
                if (firstByteAt == 0) {
                    firstByteAt = services.clock().nanoTime();
                    track.recordAnswerBegun(sentAt);
                }
                Optional<byte[]> completeEvents = events.add(buffer, count);
                if (completeEvents.isPresent()) {
                    if (callerStream.isEmpty() && !mayBegin()) {
                        return new SendOutcome.Unknown(NOT_RECORDED);
                    }
                    startedVersion = Optional.of(version);
                    deliver(status, headers, completeEvents.get());
                    lastEventId = events.lastEventId();
                    calls.resumeAfter(lastEventId);
                }
                memory.resize(events.memoryBytes());
                if (events.isEventTooLong()) {
                    return new SendOutcome.Unknown("event_too_long");
                }
            }
            if (events.takeIncompleteEvent().length > 0) {
                return new SendOutcome.Unknown("torn_event");
            }
            if (callerStream.isEmpty()) {
                return new SendOutcome.Unknown("no_event");
            }
            exchange.finish(RESPONSE_END_TIMEOUT);
            callerStream.get().close();
            return new SendOutcome.Delivered("served");
        } catch (BufferMemoryException full) {
            return new SendOutcome.Unknown("answer_memory");
        } catch (UpstreamDisconnectedException disconnected) {
            return caller.isDisconnected()
                    ? new SendOutcome.CallerDisconnected("during_stream")
                    : new SendOutcome.Unknown("stream_cut");
        } catch (IOException callerDisconnected) {
            return new SendOutcome.CallerDisconnected("during_delivery");
        } finally {
            if (firstByteAt != 0) {
                track.recordSlotTime((services.clock().nanoTime() - firstByteAt) / NANOS_PER_MILLI);
            }
        }
    }

    /** Returns whether the first event may be passed on: a caller that takes the stream up gets no other version. */
    private boolean mayBegin() throws InterruptedException {
        if (streamStart.isEmpty()) {
            return true;
        }
        long waitedFrom = services.clock().nanoTime();
        boolean mayBegin = streamStart.get().awaitRecord(calls.remaining());
        long waitedMillis = services.clock().since(waitedFrom).toMillis();
        if (waitedMillis > 0) {
            log.add("record_ms" + sends, waitedMillis);
        }
        return mayBegin;
    }

    private static int read(InputStream body, byte[] buffer) throws UpstreamDisconnectedException {
        try {
            return body.read(buffer);
        } catch (IOException disconnected) {
            throw new UpstreamDisconnectedException(disconnected);
        }
    }

    private void deliver(int status, List<HeaderField> headers, byte[] events) throws IOException {
        if (callerStream.isEmpty()) {
            log.responseStarted();
            startedStatus = status;
            callerStream =
                    Optional.of(caller.startResponse(status, services.dialect().callerHeaders(headers)));
        }
        callerStream.get().write(events);
    }

    private void countRun() {
        if (!runCounted) {
            runCounted = true;
            request.account().ifPresent(services.usage()::countStarted);
        }
    }

    /** Distinguishes a failed read from the upstream from a failed write to the caller. */
    private static final class UpstreamDisconnectedException extends IOException {

        private static final long serialVersionUID = 1L;

        UpstreamDisconnectedException(IOException cause) {
            super(cause);
        }
    }
}
