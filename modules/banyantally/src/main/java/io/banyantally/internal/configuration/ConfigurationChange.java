package io.banyantally.internal.configuration;

import io.banyantally.model.KeyId;
import java.util.List;

/**
 * The changes of one write, which is atomic.
 *
 * @param services service templates to add or replace
 * @param accounts client account parameters to add or replace
 * @param issuedKeys keys to add
 * @param withdrawnKeys keys to remove; a key that does not exist is ignored
 */
public record ConfigurationChange(
        List<ServiceTemplate> services,
        List<ClientAccountParameters> accounts,
        List<KeyRecord> issuedKeys,
        List<KeyId> withdrawnKeys) {

    /** Copies the lists. */
    public ConfigurationChange {
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
        issuedKeys = List.copyOf(issuedKeys);
        withdrawnKeys = List.copyOf(withdrawnKeys);
    }

    /** Returns a change that adds or replaces a service template. */
    public static ConfigurationChange put(ServiceTemplate service) {
        return new ConfigurationChange(List.of(service), List.of(), List.of(), List.of());
    }

    /** Returns a change that adds or replaces a client account's parameters. */
    public static ConfigurationChange put(ClientAccountParameters account) {
        return new ConfigurationChange(List.of(), List.of(account), List.of(), List.of());
    }

    /** Returns a change that adds a key. */
    public static ConfigurationChange issueKey(KeyRecord key) {
        return new ConfigurationChange(List.of(), List.of(), List.of(key), List.of());
    }

    /** Returns a change that removes a key. */
    public static ConfigurationChange withdrawKey(KeyId key) {
        return new ConfigurationChange(List.of(), List.of(), List.of(), List.of(key));
    }
}
