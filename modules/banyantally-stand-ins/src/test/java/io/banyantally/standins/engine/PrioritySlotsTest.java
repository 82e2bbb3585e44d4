package io.banyantally.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;

/** Guards against an engine that ignores priorities. */
final class PrioritySlotsTest {

    @Test
    void higherPriorityGoesFirst() throws Exception {
        PrioritySlots slots = new PrioritySlots(1);
        slots.acquire(0);
        Queue<Integer> order = new ConcurrentLinkedQueue<>();
        List<Thread> waiters = List.of(waiter(slots, 1, order), waiter(slots, 5, order), waiter(slots, 3, order));
        slots.release();
        for (Thread waiter : waiters) {
            waiter.join();
        }
        assertEquals(List.of(5, 3, 1), List.copyOf(order));
    }

    private static Thread waiter(PrioritySlots slots, int priority, Queue<Integer> order) throws InterruptedException {
        Thread thread = Thread.ofPlatform().start(() -> {
            try {
                slots.acquire(priority);
                order.add(priority);
                slots.release();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        });
        while (thread.getState() != Thread.State.WAITING) {
            Thread.sleep(1);
        }
        return thread;
    }
}
