package io.banyantally.deployment;

import java.util.List;

/**
 * One version of the operator's configuration.
 *
 * @param version rises with every change
 * @param accounts the client accounts; empty if requests need no key
 */
public record DeploymentConfiguration(
        long version,
        List<RouteRule> routes,
        List<ServiceRule> services,
        CallerLimits limits,
        List<AccountRule> accounts) {

    /** Copies the lists. */
    public DeploymentConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }
}
