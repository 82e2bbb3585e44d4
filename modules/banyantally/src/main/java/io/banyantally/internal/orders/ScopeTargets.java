package io.banyantally.internal.orders;

import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineTarget;
import java.util.Map;

/**
 * What the fleet policy wants of one scope, a pair of service and availability zone.
 *
 * @param engines the wanted state of each engine that the policy knows; others are left as they are
 * @param cheapUpstreams how many upstreams that may be reclaimed the scope should have
 * @param otherUpstreams how many other upstreams the scope should have
 */
public record ScopeTargets(Map<UpstreamId, EngineTarget> engines, int cheapUpstreams, int otherUpstreams) {

    /** Wants nothing. */
    static final ScopeTargets NONE = new ScopeTargets(Map.of(), 0, 0);

    /** Copies the map and rejects negative numbers. */
    public ScopeTargets {
        engines = Map.copyOf(engines);
        if (cheapUpstreams < 0 || otherUpstreams < 0) {
            throw new IllegalArgumentException("upstream targets " + cheapUpstreams + " and " + otherUpstreams
                    + " must not be negative; use 0 or more");
        }
    }

    /** Returns how many upstreams of one kind the scope should have. */
    public int upstreams(boolean cheap) {
        return cheap ? cheapUpstreams : otherUpstreams;
    }

    /** Returns whether both want the same numbers of upstreams. */
    boolean hasSameUpstreams(ScopeTargets other) {
        return cheapUpstreams == other.cheapUpstreams && otherUpstreams == other.otherUpstreams;
    }
}
