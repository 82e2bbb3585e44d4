package io.banyantally.internal.http;

import io.banyantally.internal.peer.Peer;
import io.banyantally.model.ExchangeId;
import java.util.concurrent.atomic.AtomicLong;

/** Generates ids of exchanges with upstreams, unique over all VMs and restarts. */
public final class ExchangeIds {

    private final Peer self;
    private final AtomicLong last = new AtomicLong();

    /** Creates the generator of this VM's incarnation. */
    public ExchangeIds(Peer self) {
        this.self = self;
    }

    /** Returns the next id; no id is returned twice. */
    public ExchangeId next() {
        return new ExchangeId(self.vm(), self.incarnation(), last.incrementAndGet());
    }
}
