package io.banyantally.internal.configuration;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.concurrent.atomic.AtomicLong;

/** Creates the stamps of the writes of one process. */
final class WriterIdentity {

    private final VmId vm;
    private final Incarnation incarnation;
    private final AtomicLong attempts = new AtomicLong();

    WriterIdentity(VmId vm, Incarnation incarnation) {
        this.vm = vm;
        this.incarnation = incarnation;
    }

    WriteStamp nextStamp(long revision) {
        return new WriteStamp(revision, vm, incarnation, attempts.incrementAndGet());
    }
}
