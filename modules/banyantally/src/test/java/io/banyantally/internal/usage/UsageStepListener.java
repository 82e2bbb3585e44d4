package io.banyantally.internal.usage;

import io.banyantally.testing.StoreFault;

/** Called immediately before and after each step takes effect; returns the fault to inject. */
@FunctionalInterface
interface UsageStepListener {
    StoreFault faultAt(UsageVm vm, UsageStep step, boolean after);
}
