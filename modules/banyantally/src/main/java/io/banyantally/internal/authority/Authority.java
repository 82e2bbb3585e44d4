package io.banyantally.internal.authority;

import io.banyantally.model.FencingNumber;

/** The right of this process to act for a scope. Check {@link #isGranted()} immediately before every action. */
public interface Authority {

    /** Returns the scope. */
    Scope scope();

    /** Returns the fencing number; it increases with every new owner, and receivers reject lower ones. */
    FencingNumber fencingNumber();

    /** Returns whether the lease, less its safety margin, is still valid by this process's monotonic clock. */
    boolean isGranted();
}
