package io.banyantally.internal.configuration;

import io.banyantally.model.AdapterName;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import java.util.Set;

/**
 * Permissions and limits of one client account, as set by operators. Limits apply to all entry VMs together.
 *
 * @param models the models that the account may request
 * @param services the plain services that the account may call
 * @param priority among queued requests, those of a higher priority are served first
 * @param weight the account's share of an overloaded fleet, relative to the other accounts
 */
public record ClientAccountParameters(
        ClientAccountId account,
        Set<ModelName> models,
        Set<AdapterName> adapters,
        Set<ServiceName> services,
        int priority,
        double weight,
        double requestsPerSecond,
        double tokensPerSecond,
        int concurrentRequests) {

    /** Copies the sets; rejects limits that are not above 0, since they would refuse every request. */
    public ClientAccountParameters {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
        services = Set.copyOf(services);
        if (!(weight > 0) || !(requestsPerSecond > 0) || !(tokensPerSecond > 0) || concurrentRequests < 1) {
            throw new IllegalArgumentException("limits of client account " + account
                    + " are not valid: weight " + weight + ", requestsPerSecond " + requestsPerSecond
                    + ", tokensPerSecond " + tokensPerSecond + ", concurrentRequests " + concurrentRequests
                    + "; use numbers above 0");
        }
    }
}
