package io.banyantally.internal.configuration;

import io.banyantally.model.KeyId;
import io.banyantally.model.Revision;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Applies a change to the buckets of a snapshot, and detects conflicts: entries modified after the revision that the
 * change is based on.
 */
final class BucketEditor {

    private final ConfigurationSnapshot base;
    private final Revision basedOn;
    private final long newRevision;
    private final Map<Integer, Bucket> edited = new LinkedHashMap<>();
    private final List<ConflictingEntry> conflicts = new ArrayList<>();

    private BucketEditor(ConfigurationSnapshot base, Revision basedOn) {
        this.base = base;
        this.basedOn = basedOn;
        this.newRevision = base.revision().next().value();
    }

    /**
     * Returns the buckets to rewrite, by index.
     *
     * @throws ConfigurationConflictException if an entry was modified after {@code basedOn} and differs from the
     *     requested value
     * @throws ConfigurationNotWrittenException if {@code basedOn} does not exist yet, or a key's client account does
     *     not
     */
    static Map<Integer, Bucket> edit(ConfigurationSnapshot base, Revision basedOn, ConfigurationChange change)
            throws ConfigurationConflictException, ConfigurationNotWrittenException {
        if (basedOn.isAfter(base.revision())) {
            throw new ConfigurationNotWrittenException("revision " + basedOn + " does not exist yet; the platform has "
                    + base.revision() + ", so read the configuration again");
        }
        BucketEditor editor = new BucketEditor(base, basedOn);
        change.services().forEach(editor::putService);
        change.accounts().forEach(editor::putAccount);
        for (KeyRecord key : change.issuedKeys()) {
            editor.addKey(key);
        }
        change.withdrawnKeys().forEach(editor::removeKey);
        if (!editor.conflicts.isEmpty()) {
            throw new ConfigurationConflictException(basedOn, base.revision(), editor.conflicts);
        }
        return editor.edited;
    }

    private Bucket bucket(int index) {
        return edited.getOrDefault(index, base.bucket(index));
    }

    private void putService(ServiceTemplate service) {
        int index = Bucket.indexOf(service.service());
        Bucket bucket = bucket(index);
        checkConflict("service/" + service.service(), service, bucket.find(service.service()));
        edited.put(
                index,
                new Bucket(
                        withEntry(bucket.services(), service, ServiceTemplate::service),
                        bucket.accounts(),
                        bucket.keys()));
    }

    private void putAccount(ClientAccountParameters account) {
        int index = Bucket.indexOf(account.account());
        Bucket bucket = bucket(index);
        checkConflict("account/" + account.account(), account, bucket.find(account.account()));
        edited.put(
                index,
                new Bucket(
                        bucket.services(),
                        withEntry(bucket.accounts(), account, ClientAccountParameters::account),
                        bucket.keys()));
    }

    private void addKey(KeyRecord key) throws ConfigurationNotWrittenException {
        if (!base.configuration().accounts().containsKey(key.account())) {
            throw new ConfigurationNotWrittenException(
                    "client account " + key.account() + " does not exist; create it before issuing a key");
        }
        int index = Bucket.indexOf(key.id());
        Bucket bucket = bucket(index);
        edited.put(
                index, new Bucket(bucket.services(), bucket.accounts(), withEntry(bucket.keys(), key, KeyRecord::id)));
    }

    private void removeKey(KeyId key) {
        int index = Bucket.indexOf(key);
        Bucket bucket = bucket(index);
        if (bucket.find(key).isEmpty()) {
            return;
        }
        List<BucketEntry<KeyRecord>> kept = bucket.keys().stream()
                .filter(entry -> !entry.value().id().equals(key))
                .toList();
        edited.put(index, new Bucket(bucket.services(), bucket.accounts(), kept));
    }

    private <T> void checkConflict(String path, T requested, Optional<BucketEntry<T>> present) {
        long changedAt = present.map(BucketEntry::changedAt).orElse(0L);
        boolean alreadyApplied =
                present.map(entry -> entry.value().equals(requested)).orElse(false);
        if (changedAt > basedOn.value() && !alreadyApplied) {
            conflicts.add(new ConflictingEntry(path, Optional.of(requested), present.map(BucketEntry::value)));
        }
    }

    private <T, I> List<BucketEntry<T>> withEntry(List<BucketEntry<T>> entries, T value, Function<T, I> identity) {
        List<BucketEntry<T>> result = new ArrayList<>(entries);
        result.removeIf(entry -> identity.apply(entry.value()).equals(identity.apply(value)));
        result.add(new BucketEntry<>(value, newRevision));
        return result;
    }
}
