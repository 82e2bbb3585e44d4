package io.banyantally.internal.usage;

import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.UsageFigures;

/** Replicates usage to another VM before the output that it counts is delivered to the caller. */
@FunctionalInterface
public interface UsageRecorder {

    /** Adds usage and waits until another VM has it or none was reached in time; see docs/design.md, section 4.5. */
    void recordBeforeDelivery(ClientAccountId account, UsageFigures added) throws InterruptedException;
}
