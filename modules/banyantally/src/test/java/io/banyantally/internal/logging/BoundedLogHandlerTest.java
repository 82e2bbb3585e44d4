package io.banyantally.internal.logging;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.jboss.logmanager.ExtLogRecord;
import org.junit.jupiter.api.Test;

final class BoundedLogHandlerTest {

    /** Guards against a process without a log after the heap was full once. */
    @Test
    void linesAreWrittenAfterAnError() throws InterruptedException {
        AtomicInteger writes = new AtomicInteger();
        CountDownLatch written = new CountDownLatch(1);
        PrintStream output = new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8) {
            @Override
            public void writeBytes(byte[] bytes) {
                if (writes.getAndIncrement() == 0) {
                    throw new OutOfMemoryError("test");
                }
                written.countDown();
            }
        };
        BoundedLogHandler handler = new BoundedLogHandler(output);
        handler.setFormatter(new Formatter() {
            @Override
            public String format(LogRecord line) {
                return line.getMessage() + "\n";
            }
        });

        handler.doPublish(new ExtLogRecord(Level.INFO, "first", "test"));
        handler.doPublish(new ExtLogRecord(Level.INFO, "second", "test"));

        assertTrue(written.await(10, TimeUnit.SECONDS));
    }
}
