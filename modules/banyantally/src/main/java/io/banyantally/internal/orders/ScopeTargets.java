package io.banyantally.internal.orders;

import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineTarget;
import java.util.Map;

/**
 * The targets that the fleet policy sets for one scope, a pair of service and availability zone.
 *
 * @param engines the target of each engine known to the policy; other engines are not changed
 * @param cheapUpstreams target number of upstreams that the platform may reclaim
 * @param otherUpstreams target number of other upstreams
 */
public record ScopeTargets(Map<UpstreamId, EngineTarget> engines, int cheapUpstreams, int otherUpstreams) {

    static final ScopeTargets NONE = new ScopeTargets(Map.of(), 0, 0);

    /** Copies the map and rejects negative counts. */
    public ScopeTargets {
        engines = Map.copyOf(engines);
        if (cheapUpstreams < 0 || otherUpstreams < 0) {
            throw new IllegalArgumentException("invalid upstream targets: cheap " + cheapUpstreams + ", other "
                    + otherUpstreams + "; must be 0 or more");
        }
    }

    /** Returns the target number of cheap upstreams, or of others. */
    public int upstreams(boolean cheap) {
        return cheap ? cheapUpstreams : otherUpstreams;
    }

    boolean hasSameUpstreams(ScopeTargets other) {
        return cheapUpstreams == other.cheapUpstreams && otherUpstreams == other.otherUpstreams;
    }
}
