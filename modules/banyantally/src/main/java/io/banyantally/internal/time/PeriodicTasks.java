package io.banyantally.internal.time;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.logging.Failures;
import io.banyantally.internal.timeline.EventField;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/**
 * Runs tasks at intervals, each in a virtual thread of its own. An exception or error in one run is logged and does not
 * end the task, which would otherwise stop unnoticed.
 */
public final class PeriodicTasks {

    private static final EventLog LOG = EventLog.of(PeriodicTasks.class);

    private final List<Thread> threads = new CopyOnWriteArrayList<>();

    /** Creates a set without tasks. */
    public PeriodicTasks() {}

    /** Starts a periodic task; the first run is immediate. */
    public void start(String name, Duration interval, Runnable task) {
        start(name, Duration.ZERO, () -> interval, task);
    }

    /** Starts a periodic task whose interval is read after each run; the first run is immediate. */
    public void start(String name, Supplier<Duration> interval, Runnable task) {
        start(name, Duration.ZERO, interval, task);
    }

    /**
     * Starts a periodic task; the first run is after a random part of the interval, so that VMs do not all run it at
     * once.
     */
    public void startWithJitter(String name, Duration interval, Runnable task) {
        Duration delay = Duration.ofMillis(ThreadLocalRandom.current().nextLong(interval.toMillis()));
        start(name, delay, () -> interval, task);
    }

    /** Starts a task that runs once, until it ends or {@link #stop} interrupts it. */
    public void startOnce(String name, Runnable task) {
        threads.add(Thread.ofVirtual().name(name).start(task));
    }

    private void start(String name, Duration delay, Supplier<Duration> interval, Runnable task) {
        threads.add(Thread.ofVirtual().name(name).start(() -> {
            try {
                Thread.sleep(delay);
                while (true) {
                    run(name, task);
                    Thread.sleep(interval.get());
                }
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }));
    }

    private static void run(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error failure) {
            Failures.log(LOG, "periodic_task_failed", failure, EventField.of("task", name));
        }
    }

    /** Stops all tasks by interrupting their threads; does not wait for their end. */
    public void stop() {
        threads.forEach(Thread::interrupt);
    }
}
