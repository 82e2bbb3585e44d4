package io.banyantally.internal.idempotency;

import io.banyantally.testing.StoreFault;

/** Told of every step, immediately before and after it takes effect. */
@FunctionalInterface
interface CallStepListener {
    StoreFault at(CallVm vm, CallStep step, boolean after);
}
