package io.banyantally.internal.configuration;

import io.banyantally.model.KeyId;
import io.banyantally.model.Revision;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Applies a change to the buckets of a snapshot, and finds entries that changed since the change's base. */
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

    /** Returns the buckets to rewrite, by index. */
    static Map<Integer, Bucket> edit(ConfigurationSnapshot base, Revision basedOn, ConfigurationChange change)
            throws ConfigurationConflictException, ConfigurationNotWrittenException {
        if (basedOn.isAfter(base.revision())) {
            throw new ConfigurationNotWrittenException("revision " + basedOn + " does not exist yet; the platform has "
                    + base.revision() + ", so read the configuration again");
        }
        BucketEditor editor = new BucketEditor(base, basedOn);
        change.services().forEach(editor::putService);
        change.accounts().forEach(editor::putAccount);
        for (KeyRecord key : change.givenKeys()) {
            editor.giveKey(key);
        }
        change.withdrawnKeys().forEach(editor::withdrawKey);
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
        check("service/" + service.service(), service, bucket.find(service.service()));
        edited.put(
                index,
                new Bucket(
                        replaced(bucket.services(), service, ServiceTemplate::service),
                        bucket.accounts(),
                        bucket.keys()));
    }

    private void putAccount(ClientAccountParameters account) {
        int index = Bucket.indexOf(account.account());
        Bucket bucket = bucket(index);
        check("account/" + account.account(), account, bucket.find(account.account()));
        edited.put(
                index,
                new Bucket(
                        bucket.services(),
                        replaced(bucket.accounts(), account, ClientAccountParameters::account),
                        bucket.keys()));
    }

    private void giveKey(KeyRecord key) throws ConfigurationNotWrittenException {
        if (!base.configuration().accounts().containsKey(key.account())) {
            throw new ConfigurationNotWrittenException(
                    "client account " + key.account() + " does not exist; put its parameters before giving a key");
        }
        int index = Bucket.indexOf(key.id());
        Bucket bucket = bucket(index);
        edited.put(
                index, new Bucket(bucket.services(), bucket.accounts(), replaced(bucket.keys(), key, KeyRecord::id)));
    }

    private void withdrawKey(KeyId key) {
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

    private <T> void check(String path, T requested, Optional<BucketEntry<T>> present) {
        long changedAt = present.map(BucketEntry::changedAt).orElse(0L);
        boolean wantedAlready =
                present.map(entry -> entry.value().equals(requested)).orElse(false);
        if (changedAt > basedOn.value() && !wantedAlready) {
            conflicts.add(new ConflictingEntry(path, Optional.of(requested), present.map(BucketEntry::value)));
        }
    }

    private <T, I> List<BucketEntry<T>> replaced(List<BucketEntry<T>> entries, T value, Function<T, I> identity) {
        List<BucketEntry<T>> result = new ArrayList<>(entries);
        result.removeIf(entry -> identity.apply(entry.value()).equals(identity.apply(value)));
        result.add(new BucketEntry<>(value, newRevision));
        return result;
    }
}
