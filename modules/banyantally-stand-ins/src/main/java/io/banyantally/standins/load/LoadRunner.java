package io.banyantally.standins.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;

/** Sends the requests of a run in a closed loop, with callers that wait for answers, or in an open loop at a rate. */
final class LoadRunner {

    /** Bounds the memory of an open loop when answers are missing; further requests wait. */
    private static final int MAXIMUM_IN_FLIGHT = 20_000;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Limit on the retry delay of a closed loop, so that a run shows the recovery of the system. */
    private static final double MAXIMUM_RETRY_WAIT_SECONDS = 5;

    private final RequestPlanner planner;
    private final EntryAddressPool addresses;
    private final ChatCaller chats;
    private final PlainCaller calls;
    private final LoadTotals totals;
    private final double durationSeconds;
    private final long startedAt = System.nanoTime();

    LoadRunner(
            RequestPlanner planner,
            EntryAddressPool addresses,
            ChatCaller chats,
            PlainCaller calls,
            LoadTotals totals,
            Duration duration) {
        this.planner = planner;
        this.addresses = addresses;
        this.chats = chats;
        this.calls = calls;
        this.totals = totals;
        this.durationSeconds = duration.toNanos() / NANOS_PER_SECOND;
    }

    /** Runs callers that each wait for an answer before the next request. Returns the elapsed seconds. */
    double runClosed(int callers) {
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int caller = 0; caller < callers; caller++) {
                executor.execute(this::callRepeatedly);
            }
        }
        return elapsed();
    }

    private void callRepeatedly() {
        try {
            for (double now = elapsed(); now < durationSeconds; now = elapsed()) {
                Outcome outcome = send(planner.next(now));
                if (outcome.retryAfterSeconds() > 0) {
                    sleep(Math.min(
                            outcome.retryAfterSeconds(), Math.min(MAXIMUM_RETRY_WAIT_SECONDS, durationSeconds - now)));
                }
            }
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends requests at a mean rate without waiting for answers. Returns the elapsed seconds. */
    double runOpen(double meanRate) throws InterruptedException {
        Semaphore inFlight = new Semaphore(MAXIMUM_IN_FLIGHT);
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            double due = planner.secondsToNext(0, meanRate);
            while (due < durationSeconds) {
                sleep(due - elapsed());
                PlannedRequest request = planner.next(due);
                inFlight.acquire();
                executor.execute(() -> {
                    sendQuietly(request);
                    inFlight.release();
                });
                due += planner.secondsToNext(due, meanRate);
            }
        }
        return elapsed();
    }

    private void sendQuietly(PlannedRequest request) {
        try {
            send(request);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private Outcome send(PlannedRequest request) throws InterruptedException {
        InetSocketAddress address = addresses.next();
        Outcome outcome = switch (request) {
            case PlannedChat chat -> chats.call(address, chat);
            case PlannedCall call -> calls.call(address, call);
        };
        totals.add(request, outcome);
        if (request instanceof PlannedCall call && call.isOrder() && planner.drawRepeat()) {
            totals.add(call, calls.call(addresses.next(), call));
        }
        return outcome;
    }

    private static void sleep(double seconds) throws InterruptedException {
        if (seconds > 0) {
            Thread.sleep(Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)));
        }
    }

    private double elapsed() {
        return (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
    }
}
