package io.banyantally.internal.configuration;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.KeyId;
import io.banyantally.model.Revision;
import io.banyantally.model.ServiceName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A manifest with all its buckets; immutable. */
final class ConfigurationSnapshot {

    static final ConfigurationSnapshot EMPTY =
            new ConfigurationSnapshot(new byte[0], Manifest.EMPTY, Map.of(), Configuration.EMPTY);

    private final byte[] manifestBytes;
    private final Manifest manifest;
    private final Map<String, HeldBucket> buckets;
    private final Configuration configuration;

    private ConfigurationSnapshot(
            byte[] manifestBytes, Manifest manifest, Map<String, HeldBucket> buckets, Configuration configuration) {
        this.manifestBytes = manifestBytes;
        this.manifest = manifest;
        this.buckets = buckets;
        this.configuration = configuration;
    }

    /** Puts a configuration together from a manifest and its buckets, found by hash. */
    static ConfigurationSnapshot assemble(byte[] manifestBytes, Manifest manifest, BucketSource source)
            throws ConfigurationDamagedException, BucketUnavailableException {
        Map<String, HeldBucket> buckets = new HashMap<>();
        for (String hash : manifest.buckets()) {
            if (!hash.equals(Manifest.NO_BUCKET)) {
                buckets.put(hash, source.bucket(hash));
            }
        }
        return new ConfigurationSnapshot(
                manifestBytes.clone(), manifest, Map.copyOf(buckets), merge(manifest, buckets.values()));
    }

    private static Configuration merge(Manifest manifest, Iterable<HeldBucket> buckets) {
        Map<ServiceName, ServiceTemplate> services = new HashMap<>();
        Map<ClientAccountId, ClientAccountParameters> accounts = new HashMap<>();
        Map<KeyId, KeyRecord> keys = new HashMap<>();
        for (HeldBucket held : buckets) {
            Bucket bucket = held.content();
            bucket.services().forEach(entry -> services.put(entry.value().service(), entry.value()));
            bucket.accounts().forEach(entry -> accounts.put(entry.value().account(), entry.value()));
            bucket.keys().forEach(entry -> keys.put(entry.value().id(), entry.value()));
        }
        return new Configuration(
                manifest.numbered(), services, accounts, keys, manifest.roster().base());
    }

    Revision revision() {
        return configuration.revision();
    }

    Manifest manifest() {
        return manifest;
    }

    Roster roster() {
        return manifest.roster();
    }

    Configuration configuration() {
        return configuration;
    }

    byte[] manifestBytes() {
        return manifestBytes.clone();
    }

    List<HeldBucket> buckets() {
        return List.copyOf(buckets.values());
    }

    Optional<HeldBucket> held(String hash) {
        return Optional.ofNullable(buckets.get(hash));
    }

    /** Returns the content of the bucket with an index. */
    Bucket bucket(int index) {
        String hash = manifest.buckets().get(index);
        return hash.equals(Manifest.NO_BUCKET)
                ? Bucket.EMPTY
                : buckets.get(hash).content();
    }
}
