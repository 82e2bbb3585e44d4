package io.banyantally.internal.membership;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.VmDirectory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/** Polls the platform's list of VMs and tells listeners what it holds. While it can't be read, the last list stays. */
public final class DirectoryWatcher {

    private static final EventLog LOG = EventLog.of(DirectoryWatcher.class);
    private static final Duration INTERVAL = Duration.ofMillis(500);
    private static final int JITTER_MILLIS = 100;

    private final VmDirectory directory;
    private final List<Consumer<List<DirectoryEntry>>> listeners = new CopyOnWriteArrayList<>();
    private volatile boolean stopped;
    private boolean failing;

    /** Creates a watcher that is not started yet. */
    public DirectoryWatcher(VmDirectory directory) {
        this.directory = directory;
    }

    /** Adds a listener; it is called after every successful read. */
    public void addListener(Consumer<List<DirectoryEntry>> listener) {
        listeners.add(listener);
    }

    /** Starts to poll. */
    public void start() {
        Thread.ofVirtual().name("directory-watcher").start(this::poll);
    }

    /** Stops polling. */
    public void stop() {
        stopped = true;
    }

    private void poll() {
        try {
            while (!stopped) {
                readOnce();
                Thread.sleep(INTERVAL.plusMillis(ThreadLocalRandom.current().nextInt(JITTER_MILLIS)));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void readOnce() {
        try {
            List<DirectoryEntry> entries = directory.list();
            failing = false;
            listeners.forEach(listener -> listener.accept(entries));
        } catch (PlatformException failure) {
            if (!failing) {
                LOG.warn("directory_unavailable", EventField.of("reason", failure.getMessage()));
            }
            failing = true;
        }
    }
}
