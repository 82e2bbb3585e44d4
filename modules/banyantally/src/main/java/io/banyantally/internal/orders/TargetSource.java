package io.banyantally.internal.orders;

import io.banyantally.internal.authority.Scope;
import java.util.Optional;

/** Provides the owner of a scope with the current targets of the fleet policy. */
@FunctionalInterface
public interface TargetSource {

    /**
     * Returns the targets of a scope; empty while the policy has not decided or the upstreams are not known yet. No
     * order is sent then, and recorded orders are not changed.
     */
    Optional<ScopeTargets> targets(Scope scope);
}
