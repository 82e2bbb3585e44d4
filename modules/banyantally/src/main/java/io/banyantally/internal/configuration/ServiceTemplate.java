package io.banyantally.internal.configuration;

import io.banyantally.model.AdapterName;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import java.util.List;

/**
 * What operators say of a service for all client accounts.
 *
 * @param models the models that its engines serve; empty for a plain service
 * @param routes the paths of a plain service; a path that none covers needs a key and is not repeatable by itself
 * @param minimumReplicas how many upstreams the service keeps at least, in all zones together
 * @param maximumReplicas how many it may order at most
 * @param openRequestsPerSecond the limit of all open routes together on all entry VMs
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

    /** Copies the lists and rejects replica limits that contradict each other. */
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
