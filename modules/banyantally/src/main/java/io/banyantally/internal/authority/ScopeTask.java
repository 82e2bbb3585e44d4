package io.banyantally.internal.authority;

/** The work of a scope's owner. */
@FunctionalInterface
public interface ScopeTask {

    /** Runs until the authority is lost or the thread is interrupted; may return early and is then run again. */
    void run(Authority authority) throws InterruptedException;
}
