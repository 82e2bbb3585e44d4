package io.banyantally.internal.idempotency;

import io.banyantally.testing.StoreFault;

/** Called immediately before and after each step takes effect; returns the fault to inject into store operations. */
@FunctionalInterface
interface CallStepListener {
    StoreFault onStep(CallVm vm, CallStep step, boolean after);
}
