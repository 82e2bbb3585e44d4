package io.banyantally.internal.authority;

/** The work of a scope's owner. */
@FunctionalInterface
public interface ScopeTask {

    /**
     * Runs until {@link Authority#isGranted()} is false or the thread is interrupted; may return early and is then run
     * again. A release withdraws the authority first and interrupts only a task that does not return in time.
     */
    void run(OwnedScope scope) throws InterruptedException;
}
