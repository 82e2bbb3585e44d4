package io.banyantally.internal.placement;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.ServiceName;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Limits how many requests are retried.
 *
 * <p>Prevents a retry storm in an outage, in which every request fails. The limit applies to all VMs together in every
 * window: each VM may retry a share of its own requests, plus an equal part of the fixed allowance. No message is
 * needed, so VMs that cannot reach each other still keep the limit together. The list of VMs may be short for a moment
 * after an outage of the store, so the fixed allowance is divided by the most VMs of the last window.
 */
public final class RetryAllowance {

    /** The fraction of the limit that is used; the rest covers VMs that restart and lose their counts. */
    static final double USED_FRACTION = 0.6;

    private final MonotonicClock clock;
    private final RetryLimit limit;
    private final IntSupplier vms;
    private final Map<ServiceName, Window> windows = new HashMap<>();
    private int mostVms = 1;
    private long mostVmsAt;

    /** Creates an unused allowance; {@code vms} returns the number of VMs that share the limit. */
    public RetryAllowance(MonotonicClock clock, RetryLimit limit, IntSupplier vms) {
        this.clock = clock;
        this.limit = limit;
        this.vms = vms;
    }

    /** Records a request of a caller; retries are not included. */
    public synchronized void recordRequest(ServiceName service) {
        updateMostVms();
        Window window = window(service);
        window.requests.addLast(clock.nanoTime());
        window.removeExpired(window.requests);
    }

    /** Takes one retry from the allowance; returns false if none is left. */
    public synchronized boolean tryRetry(ServiceName service) {
        updateMostVms();
        Window window = window(service);
        window.removeExpired(window.requests);
        window.removeExpired(window.retries);
        double allowed = USED_FRACTION * (limit.ratio() * window.requests.size() + limit.extra() / mostVms);
        if (window.retries.size() + 1 > allowed) {
            return false;
        }
        window.retries.addLast(clock.nanoTime());
        return true;
    }

    private void updateMostVms() {
        int present = Math.max(1, vms.getAsInt());
        if (present >= mostVms || clock.since(mostVmsAt).compareTo(limit.window()) > 0) {
            mostVms = present;
            mostVmsAt = clock.nanoTime();
        }
    }

    private Window window(ServiceName service) {
        return windows.computeIfAbsent(service, name -> new Window());
    }

    /**
     * How many retries all VMs together may send to a service.
     *
     * @param ratio retries for each request
     * @param extra additional retries in each window
     * @param window the length of the sliding window
     */
    public record RetryLimit(double ratio, double extra, Duration window) {}

    private final class Window {
        private final ArrayDeque<Long> requests = new ArrayDeque<>();
        private final ArrayDeque<Long> retries = new ArrayDeque<>();

        void removeExpired(ArrayDeque<Long> sendTimes) {
            long oldest = clock.nanoTime() - limit.window().toNanos();
            while (!sendTimes.isEmpty() && sendTimes.peekFirst() < oldest) {
                sendTimes.pollFirst();
            }
        }
    }
}
