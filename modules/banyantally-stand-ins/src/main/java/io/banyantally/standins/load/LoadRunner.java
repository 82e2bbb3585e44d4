package io.banyantally.standins.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;

/** Sends the requests of a run: by a number of callers that wait for each answer, or at a rate. */
final class LoadRunner {

    /** Keeps the memory of an open loop within bounds when answers stay away; further requests wait. */
    private static final int MOST_IN_FLIGHT = 20_000;

    private static final double NANOS_PER_SECOND = 1e9;

    /** A caller of a closed loop comes back at the latest after this time, so that a run shows recovery. */
    private static final double LONGEST_WAIT_SECONDS = 5;

    private final RequestPlanner planner;
    private final AddressBook addresses;
    private final ChatCaller chats;
    private final PlainCaller calls;
    private final LoadTotals totals;
    private final double durationSeconds;
    private final long startedAt = System.nanoTime();

    LoadRunner(
            RequestPlanner planner,
            AddressBook addresses,
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

    /** Runs callers that each send a request, wait for the answer, and send the next. Returns the seconds taken. */
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
                    sleep(Math.min(outcome.retryAfterSeconds(), Math.min(LONGEST_WAIT_SECONDS, durationSeconds - now)));
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends requests at a mean rate without waiting for answers. Returns the seconds taken. */
    double runOpen(double meanRate) throws InterruptedException {
        Semaphore inFlight = new Semaphore(MOST_IN_FLIGHT);
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
        } catch (InterruptedException stopped) {
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
        if (request instanceof PlannedCall call && call.isOrder() && planner.repeats()) {
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
