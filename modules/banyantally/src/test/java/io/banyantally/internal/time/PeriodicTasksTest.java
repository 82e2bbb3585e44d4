package io.banyantally.internal.time;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class PeriodicTasksTest {

    private final PeriodicTasks tasks = new PeriodicTasks();

    @AfterEach
    void stop() {
        tasks.stop();
    }

    /** Guards against a duty, a lease or a check of entries that ends for good after the heap was full once. */
    @Test
    void taskRunsAgainAfterAnError() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(2);

        tasks.start("failing", Duration.ofMillis(1), () -> {
            runs.countDown();
            throw new OutOfMemoryError("test");
        });

        assertTrue(runs.await(10, TimeUnit.SECONDS));
    }
}
