package io.banyantally.internal.usage;

import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.UsageFigures;

/** Records usage beyond this VM before it is delivered. */
@FunctionalInterface
public interface UsageRecorder {

    /** Adds usage and waits until another VM has it, as docs/design.md, section 4.5 says. */
    void recordBeforeDelivery(ClientAccountId account, UsageFigures added) throws InterruptedException;
}
