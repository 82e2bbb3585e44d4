package io.banyantally.internal.wiring;

import io.banyantally.internal.idempotency.StoredCallLedger;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The periodic tasks of the parts that have none of their own. */
@Singleton
final class BackgroundTasks {

    private final StoredCallLedger ledger;
    private final List<Thread> tasks = new CopyOnWriteArrayList<>();

    @Inject
    BackgroundTasks(StoredCallLedger ledger) {
        this.ledger = ledger;
    }

    void start() {
        repeat("call-ledger", StoredCallLedger.MAINTENANCE_INTERVAL, ledger::maintain);
    }

    private void repeat(String name, Duration interval, Runnable step) {
        tasks.add(Thread.ofVirtual().name(name).start(() -> {
            try {
                while (true) {
                    Thread.sleep(interval);
                    step.run();
                }
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }));
    }

    void stop() {
        tasks.forEach(Thread::interrupt);
    }
}
