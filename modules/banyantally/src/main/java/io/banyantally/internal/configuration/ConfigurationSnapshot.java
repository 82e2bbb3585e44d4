package io.banyantally.internal.configuration;

import io.banyantally.model.Revision;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** One revision of the configuration: the manifest with all its buckets; immutable. */
final class ConfigurationSnapshot {

    static final ConfigurationSnapshot EMPTY =
            new ConfigurationSnapshot(new byte[0], Manifest.EMPTY, Map.of(), Configuration.EMPTY);

    private final byte[] manifestBytes;
    private final Manifest manifest;
    private final Map<String, EncodedBucket> buckets;
    private final Configuration configuration;

    private ConfigurationSnapshot(
            byte[] manifestBytes, Manifest manifest, Map<String, EncodedBucket> buckets, Configuration configuration) {
        this.manifestBytes = manifestBytes;
        this.manifest = manifest;
        this.buckets = buckets;
        this.configuration = configuration;
    }

    /**
     * Assembles a configuration from a manifest and its buckets, which {@code source} loads by hash.
     *
     * @param previous the snapshot whose unchanged maps the new configuration shares
     */
    static ConfigurationSnapshot assemble(
            byte[] manifestBytes, Manifest manifest, ConfigurationSnapshot previous, BucketSource source)
            throws ConfigurationDamagedException, BucketUnavailableException {
        Map<String, EncodedBucket> buckets = new HashMap<>();
        for (String hash : manifest.buckets()) {
            if (!hash.equals(Manifest.EMPTY_BUCKET_HASH)) {
                buckets.put(hash, source.bucket(hash));
            }
        }
        ConfigurationSnapshot parts =
                new ConfigurationSnapshot(manifestBytes.clone(), manifest, Map.copyOf(buckets), Configuration.EMPTY);
        return new ConfigurationSnapshot(parts.manifestBytes, manifest, parts.buckets, parts.merge(previous));
    }

    private Configuration merge(ConfigurationSnapshot previous) {
        Configuration before = previous.configuration;
        return new Configuration(
                manifest.toRevision(),
                merge(previous, before.services(), Bucket::services, ServiceTemplate::service),
                merge(previous, before.accounts(), Bucket::accounts, ClientAccountParameters::account),
                merge(previous, before.keys(), Bucket::keys, KeyRecord::id),
                manifest.roster().base());
    }

    /** Returns the entries of one kind by name, or the map of the previous configuration if none of them changed. */
    private <I, T> Map<I, T> merge(
            ConfigurationSnapshot previous,
            Map<I, T> before,
            Function<Bucket, List<BucketEntry<T>>> entries,
            Function<T, I> name) {
        boolean unchanged = true;
        for (int index = 0; index < Bucket.COUNT && unchanged; index++) {
            unchanged = manifest.buckets()
                            .get(index)
                            .equals(previous.manifest.buckets().get(index))
                    || entries.apply(bucket(index)).equals(entries.apply(previous.bucket(index)));
        }
        if (unchanged) {
            return before;
        }
        Map<I, T> merged = new HashMap<>();
        buckets.values()
                .forEach(encoded -> entries.apply(encoded.content())
                        .forEach(entry -> merged.put(name.apply(entry.value()), entry.value())));
        return merged;
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

    List<EncodedBucket> buckets() {
        return List.copyOf(buckets.values());
    }

    Optional<EncodedBucket> findBucket(String hash) {
        return Optional.ofNullable(buckets.get(hash));
    }

    Bucket bucket(int index) {
        String hash = manifest.buckets().get(index);
        return hash.equals(Manifest.EMPTY_BUCKET_HASH)
                ? Bucket.EMPTY
                : buckets.get(hash).content();
    }
}
