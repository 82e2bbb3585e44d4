package io.banyantally.internal.placement;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.ServiceName;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Limits how many requests are sent once more.
 *
 * <p>Answers an outage, in which every request fails: the limit holds for all VMs together in every window, so each VM
 * takes a share of its own requests and an equal part of the fixed allowance. No message is needed, and VMs that cannot
 * reach each other keep the limit together.
 */
public final class RetryAllowance {

    /** The part of the limit that is used; the rest covers VMs that restart and forget what they sent. */
    static final double USED_PART = 0.6;

    private final MonotonicClock clock;
    private final RetryLimit limit;
    private final IntSupplier vms;
    private final Map<ServiceName, Window> windows = new HashMap<>();

    /** Creates an allowance of which nothing is used. */
    public RetryAllowance(MonotonicClock clock, RetryLimit limit, IntSupplier vms) {
        this.clock = clock;
        this.limit = limit;
        this.vms = vms;
    }

    /** Counts a request of a caller. */
    public synchronized void recordRequest(ServiceName service) {
        Window window = window(service);
        window.requests.addLast(clock.nanoTime());
        window.trim(window.requests);
    }

    /** Takes one repeat from the allowance; returns false if none is left. */
    public synchronized boolean tryRetry(ServiceName service) {
        Window window = window(service);
        window.trim(window.requests);
        window.trim(window.repeats);
        double allowed = USED_PART
                * (limit.ratio() * window.requests.size() + limit.extra() / (double) Math.max(1, vms.getAsInt()));
        if (window.repeats.size() + 1 > allowed) {
            return false;
        }
        window.repeats.addLast(clock.nanoTime());
        return true;
    }

    /** Counts a repeat that has been sent already, such as a call for which no allowance was asked. */
    public synchronized void recordRetry(ServiceName service) {
        window(service).repeats.addLast(clock.nanoTime());
    }

    private Window window(ServiceName service) {
        return windows.computeIfAbsent(service, name -> new Window());
    }

    /**
     * How many repeats all VMs together may send to a service.
     *
     * @param ratio repeats for each request
     * @param extra repeats beside those in each window
     * @param window the length of the sliding window
     */
    public record RetryLimit(double ratio, int extra, Duration window) {}

    private final class Window {
        private final ArrayDeque<Long> requests = new ArrayDeque<>();
        private final ArrayDeque<Long> repeats = new ArrayDeque<>();

        void trim(ArrayDeque<Long> times) {
            long oldest = clock.nanoTime() - limit.window().toNanos();
            while (!times.isEmpty() && times.peekFirst() < oldest) {
                times.pollFirst();
            }
        }
    }
}
