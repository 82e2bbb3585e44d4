package io.banyantally.internal.wiring;

import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.internal.usage.UsageBuckets;
import io.banyantally.internal.usage.UsageGatherer;
import io.banyantally.internal.usage.UsageSealer;
import io.banyantally.platform.Platform;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Creates the tasks that seal and report the usage of each bucket of client accounts. */
@Singleton
final class UsageTasks {

    private final Map<Scope, ScopeTask> byScope = new HashMap<>();

    @Inject
    UsageTasks(
            Platform platform,
            EntrySettings settings,
            UsageGatherer gatherer,
            MonotonicClock clock,
            Invariants invariants,
            Timeline timeline) {
        Duration window = Duration.ofSeconds(settings.usageWindowSeconds());
        for (int bucket = 0; bucket < UsageBuckets.COUNT; bucket++) {
            byScope.put(
                    UsageBuckets.scopeOf(bucket),
                    new UsageSealer(
                            bucket,
                            window,
                            platform.keyValueStore(),
                            gatherer,
                            platform.usageReports(),
                            clock,
                            invariants,
                            timeline));
        }
    }

    Map<Scope, ScopeTask> byScope() {
        return byScope;
    }
}
