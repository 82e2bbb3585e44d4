package io.banyantally.internal.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.fleet.DemandMeter;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.internal.routing.OpenGates;
import io.banyantally.internal.routing.PrefillStage;
import io.banyantally.internal.routing.Route;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ExchangeId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.testing.ManualClock;
import io.banyantally.upstream.AnswerChunk;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineState;
import io.banyantally.upstream.GenerationRequest;
import io.banyantally.upstream.LoadReport;
import io.banyantally.upstream.PlainService;
import io.banyantally.upstream.SendPermission;
import io.banyantally.upstream.UpstreamException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against prompts that are computed on both engines, and against requests that fail with their prefill engine.
 */
final class PrefillRunnerTest {

    private static final Peer SELF = new Peer(new VmId("vm"), new Incarnation(1), new AvailabilityZone("zone"));
    private static final KnownUpstream PREFILL = upstream("prefill");
    private static final KnownUpstream DECODE = upstream("decode");
    private static final long PREFIX = 42;

    private final Timeline timeline = new Timeline(SELF.vm(), SELF.incarnation(), 100, event -> {});
    private final List<String> calls = new ArrayList<>();
    private boolean failing;
    private int completedPrefills;

    @Test
    void computesPromptAtPrefillEngineAndCopiesItsCache() throws Exception {
        new PrefillRunner(services())
                .run(new SplitRoute(Optional.of(new PrefillStage(PREFILL, PREFIX, 2_000))), request());
        assertEquals(List.of("generate at prefill, 1 token", "copy 42 from prefill to decode"), calls);
        assertEquals(1, completedPrefills);
    }

    @Test
    void leavesPromptToDecodeEngineWhenPrefillFails() throws Exception {
        failing = true;
        new PrefillRunner(services())
                .run(new SplitRoute(Optional.of(new PrefillStage(PREFILL, PREFIX, 2_000))), request());
        assertEquals(0, completedPrefills);
        assertEquals(EventKind.PREFILL_FAILED, timeline.recent().getLast().kind());
    }

    @Test
    void callsNoEngineWithoutPrefillStage() throws Exception {
        new PrefillRunner(services()).run(new SplitRoute(Optional.empty()), request());
        assertEquals(List.of(), calls);
    }

    private UpstreamAccess services() {
        return new UpstreamAccess(
                request -> new SplitRoute(Optional.empty()),
                (service, prompt, whole) -> whole,
                new FakeConnector(),
                OpenGates.create(new ManualClock(), timeline),
                new DemandMeter(),
                (account, added) -> {},
                new ExchangeIds(SELF),
                timeline);
    }

    private static GenerationRequest request() {
        return new GenerationRequest(
                new ExchangeId(SELF.vm(), SELF.incarnation(), 7),
                new ModelName("model"),
                Optional.empty(),
                "prompt",
                100,
                0,
                "",
                0);
    }

    private static KnownUpstream upstream(String id) {
        return new KnownUpstream(
                new UpstreamId(id),
                new ServiceName("service"),
                new AvailabilityZone("zone"),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                false,
                false);
    }

    private final class SplitRoute implements Route {

        private final Optional<PrefillStage> stage;

        SplitRoute(Optional<PrefillStage> stage) {
            this.stage = stage;
        }

        @Override
        public KnownUpstream upstream() {
            return DECODE;
        }

        @Override
        public Optional<PrefillStage> prefill() {
            return stage;
        }

        @Override
        public void prefillDone(Duration copy) {
            completedPrefills++;
        }

        @Override
        public void tokenReceived() {}

        @Override
        public void failed() {}

        @Override
        public void close() {}
    }

    private final class FakeConnector implements UpstreamConnector {

        @Override
        public Engine engine(KnownUpstream upstream) {
            return new FakeEngine(upstream.id().value());
        }

        @Override
        public PlainService plainService(KnownUpstream upstream) {
            throw new UnsupportedOperationException("no plain service in this test");
        }
    }

    private final class FakeEngine implements Engine {

        private final String name;

        FakeEngine(String name) {
            this.name = name;
        }

        @Override
        public AnswerStream generate(GenerationRequest request) throws UpstreamException {
            if (failing) {
                throw new AnswerTruncatedException("the engine crashed");
            }
            calls.add("generate at " + name + ", " + request.maximumOutputTokens() + " token");
            return new AnswerStream() {
                @Override
                public AnswerChunk next() {
                    return new AnswerChunk(request.exchange(), 0, "first", false, 0, 0);
                }

                @Override
                public void close() {}
            };
        }

        @Override
        public void cancel(ExchangeId exchange) {}

        @Override
        public LoadReport loadReport() {
            throw new UnsupportedOperationException("not used in this test");
        }

        @Override
        public List<CacheEvent> cacheEvents(long after) {
            return List.of();
        }

        @Override
        public void apply(EngineOrder order, SendPermission authority) {}

        @Override
        public EngineState state() {
            throw new UnsupportedOperationException("not used in this test");
        }

        @Override
        public void transferCache(long prefixHash, Engine destination) {
            calls.add("copy " + prefixHash + " from " + name + " to " + ((FakeEngine) destination).name);
        }
    }
}
