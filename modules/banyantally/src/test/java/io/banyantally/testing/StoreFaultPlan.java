package io.banyantally.testing;

import io.banyantally.platform.StoreKey;
import java.util.Optional;

/** Selects the fault of each call of the key-value service. It may block to pause the caller at that point. */
@FunctionalInterface
public interface StoreFaultPlan {

    /** A plan without faults. */
    StoreFaultPlan NONE = (operation, key, after) -> StoreFault.NONE;

    /**
     * Called before each call takes effect, and again afterwards with {@code after} set; the second result is ignored,
     * but the method may block.
     */
    StoreFault decide(StoreOperation operation, Optional<StoreKey> key, boolean after);
}
