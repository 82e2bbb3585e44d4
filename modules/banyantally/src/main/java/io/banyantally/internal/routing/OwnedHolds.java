package io.banyantally.internal.routing;

import io.banyantally.internal.authority.Authority;
import io.banyantally.internal.orders.UpstreamChangeListener;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineTarget;

/** Turns the announcements of one ownership into holds under its fencing number. */
final class OwnedHolds implements UpstreamChangeListener {

    private final UpstreamHolds holds;
    private final Authority authority;

    OwnedHolds(UpstreamHolds holds, Authority authority) {
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
        holds.end(authority, upstream);
    }
}
