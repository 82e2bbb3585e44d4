package io.banyantally.internal.deployment;

import io.banyantally.deployment.AccountRule;
import io.banyantally.deployment.DeploymentConfiguration;
import io.banyantally.deployment.RouteRule;
import io.banyantally.deployment.ServiceRule;
import io.banyantally.model.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A configuration in force, indexed for lookups. Each request uses one instance from start to end. */
public final class ActiveConfiguration {

    private final DeploymentConfiguration document;
    private final RouteTable routes;
    private final Map<String, AccountRule> accountsByKey = new HashMap<>();
    private final Map<ServiceName, ServiceRule> services = new HashMap<>();

    /** Indexes a configuration. */
    public ActiveConfiguration(DeploymentConfiguration document) {
        this.document = document;
        this.routes = new RouteTable(document.routes());
        for (AccountRule account : document.accounts()) {
            account.keys().forEach(key -> accountsByKey.put(key, account));
        }
        document.services().forEach(service -> services.put(service.name(), service));
    }

    /** Returns the configuration document that was indexed. */
    public DeploymentConfiguration document() {
        return document;
    }

    /** Returns the version of the document, which rises with every change. */
    public long version() {
        return document.version();
    }

    /** Returns the route of a request; empty if no route of the host has a prefix of the path. */
    public Optional<RouteRule> route(String host, String path) {
        return routes.find(host, path);
    }

    /** Returns whether requests on routes that are not anonymous need a key. */
    public boolean requiresKeys() {
        return document.keysRequired();
    }

    /** Returns the account that holds a key. */
    public Optional<AccountRule> account(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Returns the rule of a service; empty if the configuration has none. */
    public Optional<ServiceRule> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }
}
