package io.banyantally.internal.authority;

import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;

/** Takes over the record of a held scope and runs the scope's task until the authority ends. */
final class TaskRun implements Runnable {

    private final HeldScope held;
    private final ScopeTask task;
    private final Sleeper sleeper;
    private final AuthoritySettings settings;
    private final Timeline timeline;
    private volatile boolean finished;

    TaskRun(HeldScope held, ScopeTask task, Sleeper sleeper, AuthoritySettings settings, Timeline timeline) {
        this.held = held;
        this.task = task;
        this.sleeper = sleeper;
        this.settings = settings;
        this.timeline = timeline;
    }

    @Override
    public void run() {
        try {
            held.takeOver();
            timeline.record(
                    EventKind.SCOPE_ACQUIRED,
                    EventField.of("scope", held.scope()),
                    EventField.of("fencingNumber", held.fencingNumber()));
            while (held.isGranted()) {
                task.run(held);
                sleeper.sleep(settings.checkInterval());
            }
        } catch (AuthorityLostException lost) {
            held.abandon(lost.getMessage());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException failure) {
            held.setOutcomesKnown(false);
            held.abandon("the task failed: " + failure);
        } finally {
            finished = true;
        }
    }

    boolean isFinished() {
        return finished;
    }
}
