package io.banyantally.internal.http;

import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Counts the requests in flight on this VM, and rejects new ones at the end of a graceful shutdown. */
public final class InFlightRequests {

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition noneRunning = lock.newCondition();
    private int running;
    private boolean closed;

    /** Adds a request; returns false if no more requests are accepted. */
    boolean tryBegin() {
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

    void end() {
        lock.lock();
        try {
            running--;
            if (running == 0) {
                noneRunning.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of requests in flight. */
    public int running() {
        lock.lock();
        try {
            return running;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Accepts no more requests and waits until none is in flight; returns false if some still are after {@code limit}.
     */
    public boolean closeAndAwaitEmpty(Duration limit) throws InterruptedException {
        lock.lock();
        try {
            closed = true;
            long remaining = limit.toNanos();
            while (running > 0 && remaining > 0) {
                remaining = noneRunning.awaitNanos(remaining);
            }
            return running == 0;
        } finally {
            lock.unlock();
        }
    }
}
