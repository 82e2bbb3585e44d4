package io.banyantally.internal.authority;

import io.banyantally.model.FencingNumber;

/** The right of this process to act for a scope. Ask it immediately before every action. */
public interface Authority {

    /** Returns the scope. */
    Scope scope();

    /** Returns the number that receivers compare; it grows with every new owner. */
    FencingNumber fencingNumber();

    /** Returns whether the lease, less its margin, still runs by this process's monotonic clock. */
    boolean isGranted();
}
