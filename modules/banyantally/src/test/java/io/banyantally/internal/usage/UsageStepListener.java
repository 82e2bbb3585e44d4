package io.banyantally.internal.usage;

import io.banyantally.testing.StoreFault;

/** Told of every step, immediately before and after it takes effect. */
@FunctionalInterface
interface UsageStepListener {
    StoreFault faultAt(UsageVm vm, UsageStep step, boolean after);
}
