package io.banyantally.deployment;

import java.util.List;

/**
 * One version of the operator's configuration.
 *
 * @param version rises with every change
 * @param keysRequired whether requests on routes that are not anonymous need a key
 */
public record DeploymentConfiguration(
        long version,
        List<RouteRule> routes,
        List<ServiceRule> services,
        CallerLimits limits,
        List<AccountRule> accounts,
        boolean keysRequired) {

    /** Creates a configuration that requires keys if it has client accounts. */
    public DeploymentConfiguration(
            long version,
            List<RouteRule> routes,
            List<ServiceRule> services,
            CallerLimits limits,
            List<AccountRule> accounts) {
        this(version, routes, services, limits, accounts, !accounts.isEmpty());
    }

    /** Copies the lists. */
    public DeploymentConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }
}
