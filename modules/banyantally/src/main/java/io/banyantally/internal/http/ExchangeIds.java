package io.banyantally.internal.http;

import io.banyantally.internal.peer.Peer;
import io.banyantally.model.ExchangeId;
import java.util.concurrent.atomic.AtomicLong;

/** Hands out ids of upstream exchanges, unique over restarts and VMs. */
public final class ExchangeIds {

    private final Peer self;
    private final AtomicLong last = new AtomicLong();

    /** Creates the ids of this VM's incarnation. */
    public ExchangeIds(Peer self) {
        this.self = self;
    }

    /** Returns an id that was never used before. */
    public ExchangeId next() {
        return new ExchangeId(self.vm(), self.incarnation(), last.incrementAndGet());
    }
}
