package io.banyantally.internal.orders;

import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineTarget;
import java.util.Map;

/**
 * The targets that the fleet policy sets for one scope, a pair of service and availability zone.
 *
 * @param engines the target of each engine known to the policy; other engines are not changed
 * @param cheapUpstreams target number of upstreams that the platform may reclaim
 * @param regularUpstreams target number of upstreams that are not reclaimed
 */
public record ScopeTargets(Map<UpstreamId, EngineTarget> engines, int cheapUpstreams, int regularUpstreams) {

    static final ScopeTargets NONE = new ScopeTargets(Map.of(), 0, 0);

    /** Copies the map and rejects negative counts. */
    public ScopeTargets {
        engines = Map.copyOf(engines);
        if (cheapUpstreams < 0 || regularUpstreams < 0) {
            throw new IllegalArgumentException("invalid upstream targets: cheap " + cheapUpstreams + ", regular "
                    + regularUpstreams + "; must be 0 or more");
        }
    }

    /** Returns the target number of cheap or of regular upstreams. */
    public int upstreams(boolean cheap) {
        return cheap ? cheapUpstreams : regularUpstreams;
    }

    boolean hasSameUpstreams(ScopeTargets other) {
        return cheapUpstreams == other.cheapUpstreams && regularUpstreams == other.regularUpstreams;
    }
}
