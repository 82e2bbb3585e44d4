package io.banyantally.internal.logging;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Writes log lines to standard output from one thread and a bounded queue. Logging never blocks the caller: lines are
 * dropped while the queue is full, and an event logs their count.
 */
public final class BoundedLogHandler extends ExtHandler {

    /** Capacity for lines while standard output is blocked; enough for some seconds of a busy process. */
    private static final int QUEUE_LINES = 4096;

    /** Maximum number of lines in one write. */
    private static final int BATCH_LINES = 256;

    private static final long POLL_TIMEOUT_MILLIS = 500;

    /** A blocked standard output must not delay the end of a process for longer. */
    private static final Duration FLUSH_LIMIT = Duration.ofMillis(100);

    private static final Duration FLUSH_POLL_INTERVAL = Duration.ofMillis(1);

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong written = new AtomicLong();
    private final PrintStream output;

    /** Creates a handler that writes to standard output. */
    public BoundedLogHandler() {
        this(System.out);
    }

    BoundedLogHandler(PrintStream output) {
        this.output = output;
        Thread writer = new Thread(this::writeLines, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    protected void doPublish(ExtLogRecord entry) {
        String line = getFormatter().format(entry);
        accepted.incrementAndGet();
        if (!lines.offer(line)) {
            accepted.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private void writeLines() {
        List<String> batch = new ArrayList<>();
        try {
            while (true) {
                writeNext(batch);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the lines that are queued; lines that can't be written count as dropped. */
    private void writeNext(List<String> batch) throws InterruptedException {
        String first = lines.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (first != null) {
            batch.add(first);
            lines.drainTo(batch, BATCH_LINES - 1);
        }
        int lineCount = batch.size();
        long droppedCount = dropped.getAndSet(0);
        try {
            if (droppedCount > 0) {
                batch.add("level=WARN event=log_lines_dropped count=" + droppedCount + "\n");
            }
            write(batch);
        } catch (RuntimeException | Error unwritable) {
            batch.clear();
            dropped.addAndGet(lineCount + droppedCount);
        } finally {
            written.addAndGet(lineCount);
        }
    }

    private void write(List<String> batch) {
        if (!batch.isEmpty()) {
            output.writeBytes(String.join("", batch).getBytes(StandardCharsets.UTF_8));
            output.flush();
            batch.clear();
        }
    }

    /** Waits until the lines queued so far are written, for at most {@link #FLUSH_LIMIT}. */
    @Override
    public void flush() {
        long target = accepted.get();
        long end = System.nanoTime() + FLUSH_LIMIT.toNanos();
        try {
            while (written.get() < target && System.nanoTime() < end) {
                Thread.sleep(FLUSH_POLL_INTERVAL);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
