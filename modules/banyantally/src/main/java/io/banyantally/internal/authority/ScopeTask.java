package io.banyantally.internal.authority;

/** The work that the owner of a scope does while it owns it. */
@FunctionalInterface
public interface ScopeTask {

    /**
     * Runs until {@link Authority#isGranted()} is false or the thread is interrupted. A task that returns earlier is
     * run again. A release first ends the authority and interrupts only a task that does not return in time.
     */
    void run(OwnedScope scope) throws InterruptedException;
}
