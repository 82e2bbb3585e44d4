package io.banyantally.internal.orders;

import io.banyantally.internal.authority.Scope;
import java.util.Optional;

/** Gives the owner of a scope the targets that the fleet policy wants now. */
@FunctionalInterface
public interface TargetSource {

    /**
     * Returns the targets; empty while the policy has not decided or the upstreams are not known yet. Nothing is ordered
     * then, and recorded orders stay as they are.
     */
    Optional<ScopeTargets> targets(Scope scope);
}
