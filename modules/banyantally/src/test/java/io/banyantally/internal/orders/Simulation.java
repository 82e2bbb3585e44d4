package io.banyantally.internal.orders;

import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;

/**
 * Deterministic scheduler for the tasks of several processes: runs one task at a time, in an order that depends only on
 * the seed. A task yields only when it sleeps or calls a fake, and simulated time advances only while every task waits,
 * so a seed always yields the same run.
 */
final class Simulation {

    final ManualClock clock = new ManualClock();
    final SplittableRandom random;
    private final List<SimulatedTask> tasks = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final Semaphore controlReturned = new Semaphore(0);
    private SimulatedTask running;
    private long end;

    Simulation(long seed) {
        random = new SplittableRandom(seed);
    }

    long now() {
        return clock.nanoTime();
    }

    Duration randomDuration(Duration longest) {
        return Duration.ofNanos(random.nextLong(longest.toNanos() + 1));
    }

    /** Schedules an action that no process waits for. */
    void schedule(Duration delay, Runnable action) {
        events.add(new Event(now() + delay.toNanos(), action));
    }

    Thread newThread(SimulatedVm vm, Runnable body) {
        SimulatedTask task = new SimulatedTask(vm, body);
        tasks.add(task);
        return Thread.ofVirtual().unstarted(task);
    }

    /** Yields to other tasks; returns after at least {@code delay}, or throws {@link ProcessKilled}. */
    void yieldFor(Duration delay) {
        SimulatedTask self = running;
        self.vm.throwIfKilled();
        self.wakeAt = now() + Math.max(0, delay.toNanos());
        Optional<SimulatedTask> next = nextTask();
        if (!next.equals(Optional.of(self))) {
            resume(next);
            self.mayRun.acquireUninterruptibly();
        }
        self.vm.throwIfKilled();
    }

    /** Runs the tasks for a simulated duration; the last task returns control to the calling thread. */
    void run(Duration duration) {
        end = now() + duration.toNanos();
        resume(nextTask());
        controlReturned.acquireUninterruptibly();
    }

    /** Ends all tasks, so that no thread is left after the run. Every process must have been killed before. */
    void finish() {
        end = Long.MIN_VALUE;
        for (SimulatedTask task : List.copyOf(tasks)) {
            resume(Optional.of(task));
            controlReturned.acquireUninterruptibly();
        }
    }

    /** Picks a random task that is ready, advancing time until there is one; empty when the run is over. */
    private Optional<SimulatedTask> nextTask() {
        while (end != Long.MIN_VALUE) {
            long next = events.stream().mapToLong(Event::at).min().orElse(Long.MAX_VALUE);
            List<SimulatedTask> ready = new ArrayList<>();
            for (SimulatedTask task : tasks) {
                long at = Math.max(task.wakeAt, task.vm.pausedUntil());
                next = Math.min(next, at);
                if (at <= now()) {
                    ready.add(task);
                }
            }
            if (next > end) {
                break;
            }
            if (next > now()) {
                clock.advance(Duration.ofNanos(next - now()));
                continue;
            }
            Optional<Event> due =
                    events.stream().filter(event -> event.at <= now()).findFirst();
            if (due.isEmpty()) {
                return Optional.of(ready.get(random.nextInt(ready.size())));
            }
            events.remove(due.get());
            due.get().action.run();
        }
        return Optional.empty();
    }

    private void resume(Optional<SimulatedTask> next) {
        if (next.isPresent()) {
            running = next.get();
            running.mayRun.release();
        } else {
            controlReturned.release();
        }
    }

    private record Event(long at, Runnable action) {}

    private final class SimulatedTask implements Runnable {

        private final SimulatedVm vm;
        private final Runnable body;
        private final Semaphore mayRun = new Semaphore(0);
        private long wakeAt;

        SimulatedTask(SimulatedVm vm, Runnable body) {
            this.vm = vm;
            this.body = body;
            this.wakeAt = now();
        }

        @Override
        public void run() {
            mayRun.acquireUninterruptibly();
            try {
                vm.throwIfKilled();
                body.run();
            } catch (ProcessKilled killed) {
                // The process was killed, which ends its task.
            } finally {
                tasks.remove(this);
                resume(nextTask());
            }
        }
    }

    /** Unwinds the tasks of a killed process; an error, so that no handler of the code under test catches it. */
    static final class ProcessKilled extends Error {

        private static final long serialVersionUID = 1L;

        ProcessKilled() {
            super("process killed by the simulation", null, false, false);
        }
    }
}
