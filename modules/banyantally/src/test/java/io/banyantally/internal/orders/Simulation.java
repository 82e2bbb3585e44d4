package io.banyantally.internal.orders;

import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;

/**
 * Runs the tasks of several processes one at a time in an order drawn from a seed. Control passes only where a task sleeps
 * or calls a fake, and time passes only when every task waits, so a seed always gives the same run.
 */
final class Simulation {

    final ManualClock clock = new ManualClock();
    final SplittableRandom random;
    private final List<Actor> actors = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final Semaphore control = new Semaphore(0);
    private Actor running;
    private long end;

    Simulation(long seed) {
        random = new SplittableRandom(seed);
    }

    long now() {
        return clock.nanoTime();
    }

    Duration upTo(Duration longest) {
        return Duration.ofNanos(random.nextLong(longest.toNanos() + 1));
    }

    /** Lets something happen later that no process waits for. */
    void after(Duration delay, Runnable action) {
        events.add(new Event(now() + delay.toNanos(), action));
    }

    Thread newThread(SimulatedVm vm, Runnable body) {
        Actor actor = new Actor(vm, body);
        actors.add(actor);
        return Thread.ofVirtual().unstarted(actor);
    }

    /** Gives up control; the calling task goes on after {@code delay} at the earliest, unless its process was killed. */
    void pass(Duration delay) {
        Actor self = running;
        self.vm.dieIfKilled();
        self.wakeAt = now() + Math.max(0, delay.toNanos());
        Optional<Actor> next = choose();
        if (!next.equals(Optional.of(self))) {
            give(next);
            self.turn.acquireUninterruptibly();
        }
        self.vm.dieIfKilled();
    }

    /** Runs until a time; the tasks hand control to one another, and the last one back. */
    void run(Duration duration) {
        end = now() + duration.toNanos();
        give(choose());
        control.acquireUninterruptibly();
    }

    /** Ends all tasks, so that no thread outlives the run. Every process must have been killed. */
    void finish() {
        end = Long.MIN_VALUE;
        for (Actor actor : List.copyOf(actors)) {
            give(Optional.of(actor));
            control.acquireUninterruptibly();
        }
    }

    /** Draws the next task, letting time pass until there is one; empty when the run is over. */
    private Optional<Actor> choose() {
        while (end != Long.MIN_VALUE) {
            long next = events.stream().mapToLong(Event::at).min().orElse(Long.MAX_VALUE);
            List<Actor> ready = new ArrayList<>();
            for (Actor actor : actors) {
                long at = Math.max(actor.wakeAt, actor.vm.pausedUntil());
                next = Math.min(next, at);
                if (at <= now()) {
                    ready.add(actor);
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

    private void give(Optional<Actor> next) {
        if (next.isPresent()) {
            running = next.get();
            running.turn.release();
        } else {
            control.release();
        }
    }

    private record Event(long at, Runnable action) {}

    private final class Actor implements Runnable {

        private final SimulatedVm vm;
        private final Runnable body;
        private final Semaphore turn = new Semaphore(0);
        private long wakeAt;

        Actor(SimulatedVm vm, Runnable body) {
            this.vm = vm;
            this.body = body;
            this.wakeAt = now();
        }

        @Override
        public void run() {
            turn.acquireUninterruptibly();
            try {
                vm.dieIfKilled();
                body.run();
            } catch (ProcessKilled killed) {
                // The process is gone; its task ends here.
            } finally {
                actors.remove(this);
                give(choose());
            }
        }
    }

    /** Unwinds the tasks of a killed process; an error, so that no handler of the code under test catches it. */
    static final class ProcessKilled extends Error {

        private static final long serialVersionUID = 1L;

        ProcessKilled() {
            super("killed by the simulation", null, false, false);
        }
    }
}
