package io.banyantally.standins.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CountDownLatch;

/** A number of slots; waiters with a higher priority go first, then those who came earlier. */
final class PrioritySlots {

    private final PriorityQueue<Waiter> waiters = new PriorityQueue<>(
            Comparator.comparingInt(Waiter::priority).reversed().thenComparingLong(Waiter::arrival));
    private int free;
    private long arrivals;

    PrioritySlots(int slots) {
        this.free = slots;
    }

    void acquire(int priority) throws InterruptedException {
        Waiter waiter;
        synchronized (this) {
            if (free > 0) {
                free--;
                return;
            }
            waiter = new Waiter(priority, arrivals++, new CountDownLatch(1));
            waiters.add(waiter);
        }
        waiter.granted().await();
    }

    synchronized void release() {
        Waiter next = waiters.poll();
        if (next == null) {
            free++;
        } else {
            next.granted().countDown();
        }
    }

    private record Waiter(int priority, long arrival, CountDownLatch granted) {}
}
