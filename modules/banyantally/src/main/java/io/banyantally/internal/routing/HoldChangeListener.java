package io.banyantally.internal.routing;

import io.banyantally.internal.authority.Authority;
import io.banyantally.internal.orders.UpstreamChangeListener;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineTarget;

/**
 * Holds an upstream while the owner of a scope changes it or gives it back, under the fencing number of that ownership.
 */
final class HoldChangeListener implements UpstreamChangeListener {

    private final UpstreamHolds holds;
    private final Authority authority;

    HoldChangeListener(UpstreamHolds holds, Authority authority) {
        this.holds = holds;
        this.authority = authority;
    }

    @Override
    public boolean prepareChange(UpstreamId engine, EngineTarget target) {
        return holds.prepare(authority, engine);
    }

    @Override
    public boolean prepareGiveBack(UpstreamId upstream) {
        return holds.prepare(authority, upstream);
    }

    @Override
    public void changeFinished(UpstreamId upstream) {
        holds.endHold(authority, upstream);
    }
}
