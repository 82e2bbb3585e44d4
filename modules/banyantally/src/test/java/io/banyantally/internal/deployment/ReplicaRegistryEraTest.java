package io.banyantally.internal.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.deployment.DeploymentConfiguration;
import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.UnreadableDocumentException;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** The upstreams when the store comes back from a copy that is older than their last entries. */
final class ReplicaRegistryEraTest {

    private static final String KEY = "upstreams/a";

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final ReplicaRegistry registry = new ReplicaRegistry(new NumberedReader(), new StoreHealth(clock), clock);
    private final StoreFeed feed = new StoreFeed(store, "upstreams/", registry);

    /** Guards against a service without upstreams since the copy was made before they registered. */
    @Test
    void upstreamThatTheCopyLacksStaysInUseForAShortTime() throws StoreException {
        FakeCoordinationStore.Copy copy = store.copy();
        write("ready", 1, 100);
        returnOlder(copy);
        assertEquals(List.of("100.1"), accepting());

        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        registry.dropLapsed();
        assertEquals(List.of(), accepting());
    }

    /** Guards against dropping an upstream whose entry in the copy expires before the upstream has written again. */
    @Test
    void upstreamWhoseEntryExpiresShortlyAfterTheReturnStaysInUse() throws StoreException {
        write("ready", 1, 100);
        returnOlder(store.copy());
        clock.advance(Duration.ofMillis(500));
        store.delete(KEY);
        feed.deliver();

        assertEquals(List.of("100.1"), accepting());
    }

    /** Guards against an upstream that stays unused since it writes the entry again that the store has lost. */
    @Test
    void upstreamThatWritesItsLostEntryAgainIsUsed() throws StoreException {
        FakeCoordinationStore.Copy copy = store.copy();
        write("ready", 1, 100);
        returnOlder(copy);
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        registry.dropLapsed();
        write("ready", 1, 100);

        assertEquals(List.of("100.1"), accepting());
    }

    /** Guards against new work for an upstream that has left, as the copy still has its entry. */
    @Test
    void upstreamThatIsGoneDoesNotReturnWithTheCopy() throws StoreException {
        write("ready", 1, 100);
        FakeCoordinationStore.Copy copy = store.copy();
        store.delete(KEY);
        feed.deliver();
        returnOlder(copy);

        assertEquals(List.of(), accepting());
    }

    /** Guards against new work for an upstream that leaves, as the copy has its entry from before that. */
    @Test
    void upstreamThatLeavesDoesNotTurnReadyWithTheCopy() throws StoreException {
        write("ready", 1, 100);
        FakeCoordinationStore.Copy copy = store.copy();
        write("draining", 2, 100);
        returnOlder(copy);

        assertEquals(List.of(), accepting());
    }

    /** Guards against requests to a former start of an upstream, as the copy has its entry. */
    @Test
    void formerStartInTheCopyDoesNotReplaceTheNewOne() throws StoreException {
        write("ready", 9, 100);
        FakeCoordinationStore.Copy copy = store.copy();
        write("ready", 1, 200);
        returnOlder(copy);
        assertEquals(List.of("200.1"), accepting());

        write("ready", 2, 200);
        assertEquals(List.of("200.2"), accepting());
    }

    private void returnOlder(FakeCoordinationStore.Copy copy) throws StoreException {
        store.returnOlder(copy);
        feed.listAgain();
    }

    private void write(String state, int sequence, int start) throws StoreException {
        store.write(KEY, (state + " " + sequence + " " + start).getBytes(StandardCharsets.UTF_8));
        feed.deliver();
    }

    /** Returns start and sequence of each upstream that accepts work. */
    private List<String> accepting() {
        return registry.accepting(Deployments.PLAIN).stream()
                .map(entry -> entry.startedAtMillis().orElseThrow() + "."
                        + entry.sequence().orElseThrow())
                .toList();
    }

    /** Reads entries of a state, a sequence and a start. */
    private static final class NumberedReader implements DocumentReader {
        @Override
        public DeploymentConfiguration configuration(byte[] document) throws UnreadableDocumentException {
            throw new UnreadableDocumentException("not used");
        }

        @Override
        public ReplicaEntry replica(StoreKey key, byte[] document) {
            String[] fields = new String(document, StandardCharsets.UTF_8).split(" ", -1);
            return new ReplicaEntry(
                    new UpstreamId("a"),
                    Deployments.PLAIN,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                    new AvailabilityZone("zone-a"),
                    6,
                    fields[0].equals("draining"),
                    EngineStage.NONE,
                    false,
                    OptionalLong.of(Long.parseLong(fields[2])),
                    OptionalLong.of(Long.parseLong(fields[1])),
                    new SoftwareVersion("v1"));
        }
    }
}
