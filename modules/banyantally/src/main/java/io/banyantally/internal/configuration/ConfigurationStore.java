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
 * manifest by compare-and-swap, so that it takes effect as a whole or not at all.
 */
public final class ConfigurationStore {

    /** Where the manifest is kept. */
    static final StoreKey MANIFEST = new StoreKey("configuration/manifest");

    private static final int MAXIMUM_RACES = 20;
    private static final int MAXIMUM_READ_BACKS = 8;
    private static final Duration RETRY_DELAY = Duration.ofMillis(40);

    private final KeyValueStore store;
    private final ConfigurationReplica replica;
    private final WriterIdentity identity;
    private final Pause pause;

    /** Creates the store's client of one process; buckets that {@code replica} holds are not read again. */
    public ConfigurationStore(
            KeyValueStore store, ConfigurationReplica replica, VmId vm, Incarnation incarnation, Pause pause) {
        this.store = store;
        this.replica = replica;
        this.identity = new WriterIdentity(vm, incarnation);
        this.pause = pause;
    }

    /** Reads the manifest. */
    StoredManifest readManifest() throws StoreException, ConfigurationDamagedException {
        Optional<VersionedValue> value = store.get(MANIFEST);
        return value.isPresent() ? decode(value.get()) : StoredManifest.ABSENT;
    }

    static StoredManifest decode(VersionedValue value) throws ConfigurationDamagedException {
        byte[] bytes = value.value();
        return new StoredManifest(bytes, StoredFormat.manifest(bytes), value.revision());
    }

    /** Reads the buckets of a manifest that the replica does not hold. */
    ConfigurationSnapshot load(StoredManifest stored) throws ConfigurationDamagedException, BucketUnavailableException {
        ConfigurationSnapshot held = replica.snapshot();
        return ConfigurationSnapshot.assemble(stored.bytes(), stored.manifest(), held, hash -> {
            Optional<HeldBucket> bucket = held.held(hash);
            return bucket.isPresent() ? bucket.get() : readBucket(hash);
        });
    }

    private HeldBucket readBucket(String hash) throws ConfigurationDamagedException, BucketUnavailableException {
        try {
            VersionedValue value = store.get(bucketKey(hash))
                    .orElseThrow(() -> new ConfigurationDamagedException("bucket " + hash + " does not exist"));
            return HeldBucket.verified(hash, value.value());
        } catch (StoreException failure) {
            throw new BucketUnavailableException("bucket " + hash + " can't be read from the platform", failure);
        }
    }

    private static StoreKey bucketKey(String hash) {
        return new StoreKey("configuration/bucket/" + hash);
    }

    /**
     * Changes entries and applies the result to the replica.
     *
     * @param basedOn the revision that the author of the change had read
     * @throws ConfigurationConflictException if an entry changed after {@code basedOn}; nothing was written
     * @throws ConfigurationNotWrittenException if the change certainly had no effect
     * @throws ConfigurationOutcomeUnknownException if the change may have taken effect
     */
    public Revision change(Revision basedOn, ConfigurationChange change)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        return write(base -> new Draft(BucketEditor.edit(base, basedOn, change), base.roster()));
    }

    /** Changes the roster; writes nothing when {@code edit} returns the roster unchanged. */
    Revision changeRoster(RosterEdit edit)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        return write(base -> new Draft(Map.of(), edit.apply(base)));
    }

    private Revision write(SnapshotEdit edit)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        for (int race = 0; race < MAXIMUM_RACES; race++) {
            StoredManifest stored;
            ConfigurationSnapshot base;
            try {
                stored = readManifest();
                base = load(stored);
            } catch (StoreException | BucketUnavailableException | ConfigurationDamagedException failure) {
                throw notWritten("the configuration can't be read from the platform", failure);
            }
            Draft draft = edit.apply(base);
            if (draft.changesNothing(base)) {
                apply(base);
                return base.revision();
            }
            Optional<ConfigurationSnapshot> written = tryWrite(stored, base, draft);
            if (written.isPresent()) {
                apply(written.get());
                return written.get().revision();
            }
            sleep();
        }
        throw new ConfigurationNotWrittenException(
                "other writers came first " + MAXIMUM_RACES + " times; repeat the change later");
    }

    private void apply(ConfigurationSnapshot snapshot) {
        replica.apply(snapshot);
    }

    /** Returns the new configuration, or empty when another writer came first. */
    private Optional<ConfigurationSnapshot> tryWrite(StoredManifest stored, ConfigurationSnapshot base, Draft draft)
            throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        Map<String, HeldBucket> fresh = new HashMap<>();
        List<String> hashes = new ArrayList<>(base.manifest().buckets());
        for (Map.Entry<Integer, Bucket> edited : draft.buckets().entrySet()) {
            HeldBucket held = HeldBucket.of(edited.getValue());
            writeBucket(held);
            fresh.put(held.hash(), held);
            hashes.set(edited.getKey(), held.hash());
        }
        WriteStamp stamp = identity.nextStamp(base.revision().next().value());
        Manifest manifest = base.manifest().next(stamp, draft.roster(), hashes);
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
                    hash -> fresh.containsKey(hash)
                            ? fresh.get(hash)
                            : base.held(hash).orElseThrow()));
        } catch (ConfigurationDamagedException | BucketUnavailableException impossible) {
            throw new IllegalStateException("all buckets of revision " + stamp.revision() + " are held", impossible);
        }
    }

    /** Writes a bucket. Its key is the hash of its bytes, so a conflict means that it is there already. */
    private void writeBucket(HeldBucket held) throws ConfigurationNotWrittenException {
        StoreException last = null;
        for (int attempt = 0; attempt < MAXIMUM_READ_BACKS; attempt++) {
            try {
                store.compareAndSwap(bucketKey(held.hash()), StoreRevision.ABSENT, held.bytes());
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
     * Writes the manifest; returns false when another writer came first. After a lost answer the identical write is
     * repeated: it either takes effect once, or meets a conflict and finds its own stamp in the manifest.
     */
    private boolean writeManifest(StoreRevision expected, WriteStamp stamp, byte[] bytes)
            throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        boolean mayBeWritten = false;
        StoreException last = null;
        for (int attempt = 0; attempt < MAXIMUM_READ_BACKS; attempt++) {
            try {
                store.compareAndSwap(MANIFEST, expected, bytes);
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
        throw unknown(stamp, last);
    }

    /** Reads the manifest back after a lost answer. */
    private boolean isOwnWrite(WriteStamp stamp) throws ConfigurationOutcomeUnknownException {
        Exception last = null;
        for (int attempt = 0; attempt < MAXIMUM_READ_BACKS; attempt++) {
            try {
                Optional<WriteStamp> writer = readManifest().manifest().writerOf(stamp.revision());
                return writer.orElseThrow(() -> unknown(stamp, null)).equals(stamp);
            } catch (StoreException | ConfigurationDamagedException failure) {
                last = failure;
                sleep();
            }
        }
        throw unknown(stamp, last);
    }

    private static ConfigurationOutcomeUnknownException unknown(WriteStamp stamp, Exception cause) {
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
            // The next call to the platform sees the flag; whether the change was written is decided there.
            Thread.currentThread().interrupt();
        }
    }
}
