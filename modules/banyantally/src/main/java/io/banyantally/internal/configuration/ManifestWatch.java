package io.banyantally.internal.configuration;

import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.Revision;
import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.StoreException;
import java.time.Duration;
import org.jboss.logging.Logger;

/** A reader's watch of the manifest. Each answer is a proof of the revision at the platform. */
public final class ManifestWatch {

    /** A proof counts from before the watch was sent, so a reader's proof is at most two watches old. */
    static final Duration WATCH_TIMEOUT = Duration.ofMillis(400);

    private static final Logger LOG = Logger.getLogger(ManifestWatch.class);

    private final KeyValueStore store;
    private final ConfigurationStore configurationStore;
    private final ConfigurationReplica replica;
    private final MonotonicClock clock;
    private StoredManifest known = StoredManifest.ABSENT;

    /** Creates a watch that applies what it sees to {@code replica}. */
    public ManifestWatch(
            KeyValueStore store,
            ConfigurationStore configurationStore,
            ConfigurationReplica replica,
            MonotonicClock clock) {
        this.store = store;
        this.configurationStore = configurationStore;
        this.replica = replica;
        this.clock = clock;
    }

    /** Waits for one answer and applies it; returns whether the platform answered. */
    boolean step(Duration timeout) {
        long askedAt = clock.nanoTime();
        Revision before = replica.revision();
        try {
            ChangeNotice notice = store.awaitChange(ConfigurationStore.MANIFEST, known.storeRevision(), timeout);
            StoredManifest answered = answered(notice);
            Revision revision = answered.manifest().numbered();
            replica.requireNotReverted(before, revision);
            if (revision.isAfter(replica.revision())) {
                replica.apply(configurationStore.load(answered));
            }
            known = answered;
            replica.creditPlatform(revision, askedAt);
            return true;
        } catch (StoreException | BucketUnavailableException failure) {
            LOG.debugf("event=configuration.watch.failed reason=\"%s\"", failure.getMessage());
        } catch (ConfigurationDamagedException | InvariantViolationException failure) {
            LOG.warnf("event=configuration.watch.rejected reason=\"%s\"", failure.getMessage());
        }
        return false;
    }

    private StoredManifest answered(ChangeNotice notice) throws ConfigurationDamagedException {
        if (!notice.changed()) {
            return known;
        }
        return notice.value().isPresent()
                ? ConfigurationStore.decode(notice.value().get())
                : StoredManifest.ABSENT;
    }
}
