package io.banyantally.internal.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.deployment.RequestKind;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import io.banyantally.testing.VersionReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ConfigurationHolderTest {

    private static final String KEY = "operator/configuration";

    private final FakeCoordinationStore store = new FakeCoordinationStore(new ManualClock());
    private final ConfigurationHolder holder = new ConfigurationHolder(new StoreKey(KEY), new VersionReader());
    private final StoreFeed feed = new StoreFeed(store, KEY, holder);

    /** Guards against a VM that answers requests before it knows any routes. */
    @Test
    void hasNoConfigurationUntilOneIsRead() throws StoreException {
        feed.deliver();

        assertTrue(holder.current().isEmpty());
    }

    /** Guards against reverting the configuration when an old version is read late. */
    @Test
    void neverRevertsToAnOlderVersion() throws StoreException {
        write("7");
        write("3");

        assertEquals(7, holder.current().orElseThrow().version());
    }

    /** Guards against losing all routes to a document that cannot be parsed. */
    @Test
    void keepsTheVersionInForceWhenADocumentIsUnreadable() throws StoreException {
        write("7");
        write("not a version");

        assertEquals(7, holder.current().orElseThrow().version());
    }

    /** Guards against losing all routes when the document is deleted. */
    @Test
    void keepsTheVersionInForceWhenTheDocumentIsDeleted() throws StoreException {
        write("7");
        store.delete(KEY);
        feed.deliver();
        feed.listAgain();

        assertEquals(7, holder.current().orElseThrow().version());
    }

    /** Guards against a key or a route that works again, as the store came back from a copy with an older version. */
    @Test
    void neverRevertsToTheVersionOfAnOlderCopyOfTheStore() throws StoreException {
        write("3");
        FakeCoordinationStore.Copy copy = store.copy();
        write("7");
        store.returnOlder(copy);
        feed.listAgain();
        assertEquals(7, holder.current().orElseThrow().version());

        write("7");
        write("9");
        assertEquals(9, holder.current().orElseThrow().version());
    }

    /** Guards against routing by a shorter prefix where a longer one matches. */
    @Test
    void longestPrefixOfThePathSelectsTheRoute() {
        ActiveConfiguration active = new ActiveConfiguration(Deployments.configuration(
                1,
                Deployments.route("/a/", RequestKind.IDEMPOTENT, 1, Duration.ofSeconds(1)),
                Deployments.route("/a/b/", RequestKind.NON_IDEMPOTENT, 1, Duration.ofSeconds(1))));

        assertEquals(
                "/a/b/", active.route("host.example", "/a/b/c").orElseThrow().prefix());
        assertEquals(
                "/a/", active.route("HOST.example:80", "/a/bc").orElseThrow().prefix());
        assertFalse(active.route("host.example", "/b/").isPresent());
        assertFalse(active.route("other.example", "/a/").isPresent());
    }

    private void write(String version) throws StoreException {
        store.write(KEY, version.getBytes(StandardCharsets.UTF_8));
        feed.deliver();
    }
}
