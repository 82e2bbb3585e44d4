package io.banyantally.internal.http;

import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Counts the requests that run on this VM, and stops accepting more at the end of a graceful shutdown. */
public final class InFlightRequests {

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition empty = lock.newCondition();
    private int running;
    private boolean closed;

    /** Counts a request in; returns false if no more requests are accepted. */
    boolean enter() {
        lock.lock();
        try {
            if (closed) {
                return false;
            }
            running++;
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Counts a request out. */
    void leave() {
        lock.lock();
        try {
            running--;
            if (running == 0) {
                empty.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Returns how many requests run now. */
    public int running() {
        lock.lock();
        try {
            return running;
        } finally {
            lock.unlock();
        }
    }

    /** Accepts no more requests and waits until none runs; returns false if some still run after {@code limit}. */
    public boolean closeAndAwaitEmpty(Duration limit) throws InterruptedException {
        lock.lock();
        try {
            closed = true;
            long remaining = limit.toNanos();
            while (running > 0 && remaining > 0) {
                remaining = empty.awaitNanos(remaining);
            }
            return running == 0;
        } finally {
            lock.unlock();
        }
    }
}
