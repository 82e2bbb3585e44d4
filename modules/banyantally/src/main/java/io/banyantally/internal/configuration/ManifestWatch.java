package io.banyantally.internal.configuration;

import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.Revision;
import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.StoreException;
import java.time.Duration;
import org.jboss.logging.Logger;

/** Watches the manifest on a reader. Each answer of the platform proves its current revision. */
public final class ManifestWatch {

    /** A proof is dated before the watch request was sent, so a reader's proof is at most two timeouts old. */
    static final Duration WATCH_TIMEOUT = Duration.ofMillis(400);

    private static final Logger LOG = Logger.getLogger(ManifestWatch.class);

    private final KeyValueStore store;
    private final ConfigurationStore configurationStore;
    private final ConfigurationReplica replica;
    private final MonotonicClock clock;
    private StoredManifest known = StoredManifest.ABSENT;

    /** Creates a watch that applies new manifests to {@code replica}. */
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

    /** Sends one watch request and applies its answer; returns whether a valid answer came. */
    boolean step(Duration timeout) {
        long requestSentAt = clock.nanoTime();
        Revision revisionBefore = replica.revision();
        try {
            ChangeNotice notice = store.awaitChange(ConfigurationStore.MANIFEST_KEY, known.storeRevision(), timeout);
            StoredManifest answered = answered(notice);
            Revision revision = answered.manifest().toRevision();
            replica.requireNotReverted(revisionBefore, revision);
            if (revision.isAfter(replica.revision())) {
                replica.apply(configurationStore.load(answered));
            }
            known = answered;
            replica.recordPlatformProof(revision, requestSentAt);
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
