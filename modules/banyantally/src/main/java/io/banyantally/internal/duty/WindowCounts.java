package io.banyantally.internal.duty;

import io.banyantally.model.ClientAccountId;
import java.util.HashMap;
import java.util.Map;

/**
 * Numbers of requests that started to run, by usage window and client account.
 *
 * @param writtenIn the window in which the counts were written; those of earlier windows are final
 * @param closed whether the process has ended, so that all counts are final
 */
public record WindowCounts(long writtenIn, boolean closed, Map<Long, Map<ClientAccountId, Long>> byWindow) {

    /** Copies the counts. */
    public WindowCounts {
        Map<Long, Map<ClientAccountId, Long>> copy = new HashMap<>();
        byWindow.forEach((window, counts) -> copy.put(window, Map.copyOf(counts)));
        byWindow = Map.copyOf(copy);
    }

    /** Returns the counts of a window. */
    public Map<ClientAccountId, Long> of(long window) {
        return byWindow.getOrDefault(window, Map.of());
    }
}
