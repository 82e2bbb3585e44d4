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
 * Writes log lines to standard output from one thread and a bounded queue. A caller never waits: lines that find the queue
 * full are dropped, and a line says how many.
 */
public final class BoundedLogHandler extends ExtHandler {

    /** Lines kept while standard output does not take them; some seconds of a busy process. */
    private static final int QUEUE_LINES = 4096;

    /** Lines that are written with one call. */
    private static final int BATCH_LINES = 256;

    private static final long IDLE_MILLIS = 500;

    /** A standard output that takes nothing for this long must not hold up the end of a process. */
    private static final Duration FLUSH_LIMIT = Duration.ofMillis(100);

    private static final Duration FLUSH_PAUSE = Duration.ofMillis(1);

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
                String first = lines.poll(IDLE_MILLIS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    lines.drainTo(batch, BATCH_LINES - 1);
                }
                int taken = batch.size();
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    batch.add("level=WARN event=log_lines_dropped count=" + lost + "\n");
                }
                write(batch);
                written.addAndGet(taken);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(List<String> batch) {
        if (!batch.isEmpty()) {
            output.writeBytes(String.join("", batch).getBytes(StandardCharsets.UTF_8));
            output.flush();
            batch.clear();
        }
    }

    /** Waits until the lines that were queued before are written, at most for a short time. */
    @Override
    public void flush() {
        long due = accepted.get();
        long end = System.nanoTime() + FLUSH_LIMIT.toNanos();
        try {
            while (written.get() < due && System.nanoTime() < end) {
                Thread.sleep(FLUSH_PAUSE);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
