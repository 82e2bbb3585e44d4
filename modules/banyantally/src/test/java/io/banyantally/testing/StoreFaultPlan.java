package io.banyantally.testing;

import io.banyantally.platform.StoreKey;
import java.util.Optional;

/** Decides for each call of the key-value service what goes wrong. It may also block, to pause the caller there. */
@FunctionalInterface
public interface StoreFaultPlan {

    /** Nothing ever goes wrong. */
    StoreFaultPlan NONE = (operation, key, after) -> StoreFault.NONE;

    /**
     * Called before each call takes effect, and again after it with {@code after} set, where only the time spent counts.
     */
    StoreFault decide(StoreOperation operation, Optional<StoreKey> key, boolean after);
}
