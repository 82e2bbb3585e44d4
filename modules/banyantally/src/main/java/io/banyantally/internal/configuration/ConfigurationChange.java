package io.banyantally.internal.configuration;

import io.banyantally.model.KeyId;
import java.util.List;

/**
 * What one write changes, all of it or nothing.
 *
 * @param services templates to add or replace
 * @param accounts parameters to add or replace
 * @param givenKeys keys to add
 * @param withdrawnKeys keys to remove; one that does not exist is no error
 */
public record ConfigurationChange(
        List<ServiceTemplate> services,
        List<ClientAccountParameters> accounts,
        List<KeyRecord> givenKeys,
        List<KeyId> withdrawnKeys) {

    /** Copies the lists. */
    public ConfigurationChange {
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
        givenKeys = List.copyOf(givenKeys);
        withdrawnKeys = List.copyOf(withdrawnKeys);
    }

    /** Returns a change that adds or replaces a template. */
    public static ConfigurationChange put(ServiceTemplate service) {
        return new ConfigurationChange(List.of(service), List.of(), List.of(), List.of());
    }

    /** Returns a change that adds or replaces a client account's parameters. */
    public static ConfigurationChange put(ClientAccountParameters account) {
        return new ConfigurationChange(List.of(), List.of(account), List.of(), List.of());
    }

    /** Returns a change that adds a key. */
    public static ConfigurationChange give(KeyRecord key) {
        return new ConfigurationChange(List.of(), List.of(), List.of(key), List.of());
    }

    /** Returns a change that removes a key. */
    public static ConfigurationChange withdraw(KeyId key) {
        return new ConfigurationChange(List.of(), List.of(), List.of(), List.of(key));
    }
}
