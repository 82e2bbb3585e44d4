package io.banyantally.internal.configuration;

import io.banyantally.model.Incarnation;
import io.banyantally.model.Revision;
import io.banyantally.model.VmId;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads and changes the configuration in the key-value service. A change writes its new buckets first and then the
 * manifest by compare-and-swap, so that the change is atomic.
 */
public final class ConfigurationStore {

    static final StoreKey MANIFEST_KEY = new StoreKey("configuration/manifest");

    private static final int MAXIMUM_WRITE_CONFLICTS = 20;
    private static final int MAXIMUM_ATTEMPTS = 8;
    private static final Duration RETRY_DELAY = Duration.ofMillis(40);

    private final KeyValueStore store;
    private final ConfigurationReplica replica;
    private final WriterIdentity identity;
    private final Pause pause;

    /** Creates the store client of one VM; buckets that {@code replica} already has are not read again. */
    public ConfigurationStore(
            KeyValueStore store, ConfigurationReplica replica, VmId vm, Incarnation incarnation, Pause pause) {
        this.store = store;
        this.replica = replica;
        this.identity = new WriterIdentity(vm, incarnation);
        this.pause = pause;
    }

    StoredManifest readManifest() throws StoreException, ConfigurationDamagedException {
        Optional<VersionedValue> value = store.get(MANIFEST_KEY);
        return value.isPresent() ? decode(value.get()) : StoredManifest.ABSENT;
    }

    static StoredManifest decode(VersionedValue value) throws ConfigurationDamagedException {
        byte[] bytes = value.value();
        return new StoredManifest(bytes, StoredFormat.manifest(bytes), value.revision());
    }

    /** Loads a manifest's configuration; reads from the platform only the buckets that the replica lacks. */
    ConfigurationSnapshot load(StoredManifest stored) throws ConfigurationDamagedException, BucketUnavailableException {
        ConfigurationSnapshot current = replica.snapshot();
        return ConfigurationSnapshot.assemble(stored.bytes(), stored.manifest(), current, hash -> {
            Optional<EncodedBucket> bucket = current.findBucket(hash);
            return bucket.isPresent() ? bucket.get() : readBucket(hash);
        });
    }

    private EncodedBucket readBucket(String hash) throws ConfigurationDamagedException, BucketUnavailableException {
        try {
            VersionedValue value = store.get(bucketKey(hash))
                    .orElseThrow(() -> new ConfigurationDamagedException("bucket " + hash + " does not exist"));
            return EncodedBucket.verified(hash, value.value());
        } catch (StoreException failure) {
            throw new BucketUnavailableException("bucket " + hash + " can't be read from the platform", failure);
        }
    }

    private static StoreKey bucketKey(String hash) {
        return new StoreKey("configuration/bucket/" + hash);
    }

    /**
     * Writes a change and applies the resulting configuration to the replica.
     *
     * @param basedOn the revision that the author of the change had read
     * @throws ConfigurationConflictException if an entry changed after {@code basedOn}; nothing was written
     * @throws ConfigurationNotWrittenException if the change had no effect
     * @throws ConfigurationOutcomeUnknownException if the change may have taken effect
     */
    public Revision change(Revision basedOn, ConfigurationChange change)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        return write(base -> new SnapshotUpdate(BucketEditor.edit(base, basedOn, change), base.roster()));
    }

    /** Changes the roster; writes nothing when {@code edit} returns the roster unchanged. */
    Revision changeRoster(RosterEdit edit)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        return write(base -> new SnapshotUpdate(Map.of(), edit.apply(base)));
    }

    private Revision write(SnapshotEdit edit)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        for (int conflict = 0; conflict < MAXIMUM_WRITE_CONFLICTS; conflict++) {
            StoredManifest stored;
            ConfigurationSnapshot base;
            try {
                stored = readManifest();
                base = load(stored);
            } catch (StoreException | BucketUnavailableException | ConfigurationDamagedException failure) {
                throw notWritten("the configuration can't be read from the platform", failure);
            }
            SnapshotUpdate update = edit.apply(base);
            if (update.isNoOpFor(base)) {
                apply(base);
                return base.revision();
            }
            Optional<ConfigurationSnapshot> written = tryWrite(stored, base, update);
            if (written.isPresent()) {
                apply(written.get());
                return written.get().revision();
            }
            sleep();
        }
        throw new ConfigurationNotWrittenException("the manifest write lost to other writers " + MAXIMUM_WRITE_CONFLICTS
                + " times; repeat the change later");
    }

    private void apply(ConfigurationSnapshot snapshot) {
        replica.apply(snapshot);
    }

    /** Returns the new configuration, or empty if another writer changed the manifest first. */
    private Optional<ConfigurationSnapshot> tryWrite(
            StoredManifest stored, ConfigurationSnapshot base, SnapshotUpdate update)
            throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        Map<String, EncodedBucket> newBuckets = new HashMap<>();
        List<String> hashes = new ArrayList<>(base.manifest().buckets());
        for (Map.Entry<Integer, Bucket> edited : update.buckets().entrySet()) {
            EncodedBucket encoded = EncodedBucket.of(edited.getValue());
            writeBucket(encoded);
            newBuckets.put(encoded.hash(), encoded);
            hashes.set(edited.getKey(), encoded.hash());
        }
        WriteStamp stamp = identity.nextStamp(base.revision().next().value());
        Manifest manifest = base.manifest().next(stamp, update.roster(), hashes);
        byte[] bytes = StoredFormat.encode(manifest);
        if (bytes.length > KeyValueStore.MAXIMUM_VALUE_BYTES) {
            throw new ConfigurationNotWrittenException("the manifest would grow to " + bytes.length + " bytes; at most "
                    + KeyValueStore.MAXIMUM_VALUE_BYTES + " are allowed, so remove VMs from the roster");
        }
        if (!writeManifest(stored.storeRevision(), stamp, bytes)) {
            return Optional.empty();
        }
        try {
            return Optional.of(ConfigurationSnapshot.assemble(
                    bytes,
                    manifest,
                    base,
                    hash -> newBuckets.containsKey(hash)
                            ? newBuckets.get(hash)
                            : base.findBucket(hash).orElseThrow()));
        } catch (ConfigurationDamagedException | BucketUnavailableException impossible) {
            throw new IllegalStateException(
                    "revision " + stamp.revision() + " lacks a bucket; all its buckets must be loaded", impossible);
        }
    }

    /** Writes a bucket. Its key is the hash of its bytes, so a conflict means that the same bucket exists already. */
    private void writeBucket(EncodedBucket encoded) throws ConfigurationNotWrittenException {
        StoreException last = null;
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            try {
                store.compareAndSwap(bucketKey(encoded.hash()), StoreRevision.ABSENT, encoded.bytes());
                return;
            } catch (RevisionConflictException alreadyThere) {
                return;
            } catch (OutcomeUnknownException unknown) {
                last = unknown;
                sleep();
            } catch (StoreException failure) {
                throw notWritten("a bucket can't be written to the platform", failure);
            }
        }
        throw notWritten("a bucket can't be written to the platform", last);
    }

    /**
     * Writes the manifest; returns false if another writer changed it first. After a lost answer the identical write is
     * repeated: it takes effect at most once, and a conflict with its own earlier write is recognised by the stamp in
     * the manifest.
     */
    private boolean writeManifest(StoreRevision expected, WriteStamp stamp, byte[] bytes)
            throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        boolean mayBeWritten = false;
        StoreException last = null;
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            try {
                store.compareAndSwap(MANIFEST_KEY, expected, bytes);
                return true;
            } catch (RevisionConflictException conflict) {
                return mayBeWritten && isOwnWrite(stamp);
            } catch (OutcomeUnknownException unknown) {
                mayBeWritten = true;
                last = unknown;
            } catch (StoreException failure) {
                if (!mayBeWritten) {
                    throw notWritten("the manifest can't be written to the platform", failure);
                }
                last = failure;
            }
            sleep();
        }
        throw outcomeUnknown(stamp, last);
    }

    /** Reads the manifest back to find out whether a write whose answer was lost took effect. */
    private boolean isOwnWrite(WriteStamp stamp) throws ConfigurationOutcomeUnknownException {
        Exception last = null;
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            try {
                Optional<WriteStamp> writer = readManifest().manifest().findStamp(stamp.revision());
                return writer.orElseThrow(() -> outcomeUnknown(stamp, null)).equals(stamp);
            } catch (StoreException | ConfigurationDamagedException failure) {
                last = failure;
                sleep();
            }
        }
        throw outcomeUnknown(stamp, last);
    }

    private static ConfigurationOutcomeUnknownException outcomeUnknown(WriteStamp stamp, Exception cause) {
        return new ConfigurationOutcomeUnknownException(
                "the change may have become revision " + stamp.revision()
                        + "; read the configuration before repeating it",
                cause);
    }

    private static ConfigurationNotWrittenException notWritten(String what, Exception cause) {
        return new ConfigurationNotWrittenException(what + "; nothing was changed, repeat the change later", cause);
    }

    private void sleep() {
        try {
            pause.await(Jitter.around(RETRY_DELAY));
        } catch (InterruptedException interrupted) {
            // The next call to the platform detects the interrupt and reports whether the change was written.
            Thread.currentThread().interrupt();
        }
    }
}
