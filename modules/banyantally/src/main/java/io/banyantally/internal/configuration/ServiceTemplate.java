package io.banyantally.internal.configuration;

import io.banyantally.model.AdapterName;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import java.util.List;

/**
 * The definition of a service by operators, for all client accounts.
 *
 * @param models the models that its engines serve; empty for a plain service
 * @param routes the routes of a plain service; other paths need a key and are repeatable only by their method
 * @param minimumReplicas the minimum number of upstreams, in all zones together
 * @param maximumReplicas the maximum number of upstreams that may be ordered
 * @param openRequestsPerSecond the rate limit of requests without a key, for all open routes on all entry VMs together
 */
public record ServiceTemplate(
        ServiceName service,
        ServiceKind kind,
        List<ModelName> models,
        List<AdapterName> adapters,
        List<PlainRoute> routes,
        int minimumReplicas,
        int maximumReplicas,
        double openRequestsPerSecond) {

    /** Copies the lists; rejects a negative minimum and a maximum below the minimum. */
    public ServiceTemplate {
        models = List.copyOf(models);
        adapters = List.copyOf(adapters);
        routes = List.copyOf(routes);
        if (minimumReplicas < 0 || maximumReplicas < minimumReplicas) {
            throw new IllegalArgumentException("replica limits " + minimumReplicas + " to " + maximumReplicas
                    + " are not valid; use 0 or more and a maximum not below the minimum");
        }
    }
}
