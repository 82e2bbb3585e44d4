package io.banyantally.internal.configuration;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.KeyId;
import io.banyantally.model.ServiceName;
import java.util.List;
import java.util.Optional;

/**
 * One of the {@link #COUNT} partitions of the configuration, into which entries are distributed by the hash of their
 * name. Immutable; stored under the hash of its bytes.
 */
record Bucket(
        List<BucketEntry<ServiceTemplate>> services,
        List<BucketEntry<ClientAccountParameters>> accounts,
        List<BucketEntry<KeyRecord>> keys) {

    /** A change rewrites one bucket, about 1/64 of the configuration; each bucket adds 67 bytes to the manifest. */
    static final int COUNT = 64;

    /** Below the size limits of a key-value service value and of a peer's answer, with room for the envelope. */
    static final int MAXIMUM_BYTES = 950_000;

    static final Bucket EMPTY = new Bucket(List.of(), List.of(), List.of());

    /** Copies the lists. */
    Bucket {
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
        keys = List.copyOf(keys);
    }

    static int indexOf(ServiceName service) {
        return index("service/" + service);
    }

    static int indexOf(ClientAccountId account) {
        return index("account/" + account);
    }

    static int indexOf(KeyId key) {
        return index("key/" + key);
    }

    private static int index(String name) {
        return Sha256.of(name.getBytes(java.nio.charset.StandardCharsets.UTF_8))[0] & (COUNT - 1);
    }

    Optional<BucketEntry<ServiceTemplate>> find(ServiceName service) {
        return services.stream()
                .filter(entry -> entry.value().service().equals(service))
                .findAny();
    }

    Optional<BucketEntry<ClientAccountParameters>> find(ClientAccountId account) {
        return accounts.stream()
                .filter(entry -> entry.value().account().equals(account))
                .findAny();
    }

    Optional<BucketEntry<KeyRecord>> find(KeyId key) {
        return keys.stream().filter(entry -> entry.value().id().equals(key)).findAny();
    }
}
