package io.banyantally.internal.authority;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** Checks what all scope owners of a process share. */
final class AuthorityEnvironmentTest {

    private static final int THREADS = 4;
    private static final int DRAWS = 50_000;

    /** Guards against owners that draw the same jitter and call the key-value service at the same time. */
    @Test
    void ownersInSeveralThreadsDrawDifferentValues() throws Exception {
        Timeline timeline = new Timeline(new VmId("vm-1"), Incarnation.draw(), 10, event -> {});
        RandomGenerator random =
                AuthorityEnvironment.system(AuthoritySettings.DEFAULT, timeline).random();
        Set<Long> values = ConcurrentHashMap.newKeySet();
        try (ExecutorService threads = Executors.newFixedThreadPool(THREADS)) {
            List<Callable<Object>> owners = Collections.nCopies(THREADS, Executors.callable(() -> {
                List<Long> drawn = new ArrayList<>();
                for (int draw = 0; draw < DRAWS; draw++) {
                    drawn.add(random.nextLong());
                }
                values.addAll(drawn);
            }));
            for (Future<Object> owner : threads.invokeAll(owners)) {
                owner.get();
            }
        }

        assertEquals(THREADS * DRAWS, values.size());
    }
}
