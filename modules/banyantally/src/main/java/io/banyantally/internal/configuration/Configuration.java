package io.banyantally.internal.configuration;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.KeyId;
import io.banyantally.model.Revision;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import java.util.Map;
import java.util.Set;

/**
 * The whole configuration at one revision; immutable.
 *
 * @param roster the entry VMs of which a majority must confirm a change
 */
public record Configuration(
        Revision revision,
        Map<ServiceName, ServiceTemplate> services,
        Map<ClientAccountId, ClientAccountParameters> accounts,
        Map<KeyId, KeyRecord> keys,
        Set<VmId> roster) {

    /** The configuration before the first is loaded: no services, accounts or keys. */
    public static final Configuration EMPTY = new Configuration(Revision.NONE, Map.of(), Map.of(), Map.of(), Set.of());

    /** Copies the collections. */
    public Configuration {
        services = Map.copyOf(services);
        accounts = Map.copyOf(accounts);
        keys = Map.copyOf(keys);
        roster = Set.copyOf(roster);
    }
}
