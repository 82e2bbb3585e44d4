package io.banyantally.internal.time;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/**
 * Repeats steps at intervals, each in a virtual thread of its own. A fault in one round is logged and does not end the task:
 * later rounds would be missing without a sign.
 */
public final class PeriodicTasks {

    private static final EventLog LOG = EventLog.of(PeriodicTasks.class);

    private final List<Thread> threads = new CopyOnWriteArrayList<>();

    /** Creates a set without tasks. */
    public PeriodicTasks() {}

    /** Starts to repeat a step, the first time at once. */
    public void start(String name, Duration interval, Runnable step) {
        start(name, Duration.ZERO, () -> interval, step);
    }

    /** Starts to repeat a step at intervals that may change from round to round, the first time at once. */
    public void start(String name, Supplier<Duration> interval, Runnable step) {
        start(name, Duration.ZERO, interval, step);
    }

    /** Starts to repeat a step, the first time at a random moment within the interval, so that VMs do not all act at once. */
    public void startWithJitter(String name, Duration interval, Runnable step) {
        Duration delay = Duration.ofMillis(ThreadLocalRandom.current().nextLong(interval.toMillis()));
        start(name, delay, () -> interval, step);
    }

    /** Runs a task until it ends or is stopped. */
    public void startOnce(String name, Runnable task) {
        threads.add(Thread.ofVirtual().name(name).start(task));
    }

    private void start(String name, Duration delay, Supplier<Duration> interval, Runnable step) {
        threads.add(Thread.ofVirtual().name(name).start(() -> {
            try {
                Thread.sleep(delay);
                while (true) {
                    run(name, step);
                    Thread.sleep(interval.get());
                }
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }));
    }

    private static void run(String name, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException fault) {
            LOG.error("periodic_task_failed", fault, EventField.of("task", name));
        }
    }

    /** Stops all tasks; a step that waits is interrupted. */
    public void stop() {
        threads.forEach(Thread::interrupt);
    }
}
