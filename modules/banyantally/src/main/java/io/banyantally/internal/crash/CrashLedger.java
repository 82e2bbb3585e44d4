package io.banyantally.internal.crash;

import io.banyantally.deployment.PromptMetadata;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.crash.CrashAttribution.Crash;
import io.banyantally.internal.deployment.PrefixListener;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreKey;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * The crashes of upstreams that all VMs reported, and the parts of prompts that were served since. A report counts
 * against a part until a prompt with the part is served later, by any VM.
 */
public final class CrashLedger implements PrefixListener {

    /** Upstreams that crash within this time may have a common cause; a prompt crashes one after the other. */
    static final Duration EPISODE = Duration.ofMillis(400);

    private static final EventLog LOG = EventLog.of(CrashLedger.class);

    private final MonotonicClock clock;
    private final Map<StoreKey, RevisedReport> reports = new HashMap<>();
    private final Map<PromptPartKey, Long> clearedUpTo = new HashMap<>();
    private final Map<PromptPartKey, Long> servedHereUpTo = new HashMap<>();
    private long newestRevision;
    private long episode;
    private long episodeStartedAt;
    private volatile Set<PromptPartKey> suspected = Set.of();
    private volatile List<Set<PromptPartKey>> crashing = List.of();
    private volatile boolean read;

    /** Creates an empty ledger. */
    public CrashLedger(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns whether the reports in the store have been read. */
    public boolean isRead() {
        return read;
    }

    /** Returns whether upstreams crash when they generate an answer to the prompt. */
    public boolean isCrashing(ServiceName service, PromptMetadata prompt) {
        List<Set<PromptPartKey>> known = crashing;
        if (known.isEmpty()) {
            return false;
        }
        Set<PromptPartKey> parts = PromptPartKey.sharedParts(service, prompt);
        return known.stream().anyMatch(parts::containsAll);
    }

    /** Records that a prompt was served, so that earlier crashes do not count against its parts. */
    public void recordServed(ServiceName service, PromptMetadata prompt) {
        Set<PromptPartKey> known = suspected;
        if (known.isEmpty()) {
            return;
        }
        List<PromptPartKey> served = PromptPartKey.sharedParts(service, prompt).stream()
                .filter(known::contains)
                .toList();
        if (!served.isEmpty()) {
            clear(served);
        }
    }

    private synchronized void clear(List<PromptPartKey> served) {
        served.forEach(part -> servedHereUpTo.put(part, newestRevision));
        evaluate();
    }

    /** Returns the episode of a crash that has just been observed. */
    synchronized long currentEpisode() {
        return episode == 0 || clock.since(episodeStartedAt).compareTo(EPISODE) >= 0 ? episode + 1 : episode;
    }

    /** Returns the parts that this VM has served and that other VMs are about to blame. */
    synchronized List<PromptPartKey> unpublishedClearances() {
        if (servedHereUpTo.isEmpty()) {
            return List.of();
        }
        return CrashAttribution.nearlyBlamed(crashes(part -> clearedUpTo.getOrDefault(part, 0L))).stream()
                .filter(part -> servedHereUpTo.getOrDefault(part, 0L) > clearedUpTo.getOrDefault(part, 0L))
                .sorted()
                .toList();
    }

    @Override
    public synchronized void listed(StoreListing listing) {
        reports.clear();
        clearedUpTo.clear();
        listing.items().forEach(this::written);
        newestRevision = Math.max(newestRevision, listing.revision().value());
        evaluate();
        read = true;
    }

    @Override
    public synchronized void changed(StoreChanges changes) {
        for (StoreChange change : changes.changes()) {
            switch (change) {
                case StoreChange.Written written -> written(written.item());
                case StoreChange.Removed removed -> removed(removed.key());
            }
        }
        evaluate();
    }

    private void written(StoreItem item) {
        long revision = item.versioned().revision().value();
        newestRevision = Math.max(newestRevision, revision);
        Optional<PromptPartKey> cleared = CrashStoreKeys.clearedPart(item.key());
        if (cleared.isPresent()) {
            clearedUpTo.put(cleared.get(), revision);
            return;
        }
        try {
            CrashReport report = WireFormat.decode(item.value(), CrashReport.class);
            RevisedReport revised = RevisedReport.of(report, revision);
            reports.put(item.key(), revised);
            if (report.episode() > episode) {
                episode = report.episode();
                episodeStartedAt = clock.nanoTime();
            }
        } catch (IOException | IllegalArgumentException unreadable) {
            LOG.error("crash_report_unreadable", unreadable, EventField.of("key", item.key()));
        }
    }

    private void removed(StoreKey key) {
        if (reports.remove(key) != null) {
            Set<PromptPartKey> reported = reports.values().stream()
                    .flatMap(report -> report.parts().stream())
                    .collect(Collectors.toSet());
            servedHereUpTo.keySet().retainAll(reported);
        }
        CrashStoreKeys.clearedPart(key).ifPresent(clearedUpTo::remove);
    }

    private void evaluate() {
        Collection<Crash> crashes = crashes(this::clearedOrServedUpTo);
        suspected = crashes.stream().flatMap(crash -> crash.parts().stream()).collect(Collectors.toUnmodifiableSet());
        List<Set<PromptPartKey>> previous = crashing;
        crashing = CrashAttribution.blame(crashes);
        if (!previous.equals(crashing)) {
            LOG.warn("crashing_prompts", EventField.of("parts", crashing), EventField.of("crashes", crashes.size()));
        }
    }

    /** Returns the crashes with the parts that count, which are those of reports after {@code notCountedUpTo}. */
    private Collection<Crash> crashes(ToLongFunction<PromptPartKey> notCountedUpTo) {
        Map<String, Crash> byUpstream = new HashMap<>();
        for (RevisedReport report : reports.values()) {
            Set<PromptPartKey> counted = report.parts().stream()
                    .filter(part -> report.revision() > notCountedUpTo.applyAsLong(part))
                    .collect(Collectors.toSet());
            byUpstream.merge(
                    report.upstream(), new Crash(report.upstream(), report.episode(), counted), CrashLedger::merge);
        }
        return byUpstream.values();
    }

    private static Crash merge(Crash first, Crash second) {
        Set<PromptPartKey> parts = new HashSet<>(first.parts());
        parts.addAll(second.parts());
        return new Crash(first.upstream(), Math.min(first.episode(), second.episode()), parts);
    }

    private long clearedOrServedUpTo(PromptPartKey part) {
        return Math.max(clearedUpTo.getOrDefault(part, 0L), servedHereUpTo.getOrDefault(part, 0L));
    }

    private record RevisedReport(String upstream, long episode, Set<PromptPartKey> parts, long revision) {

        static RevisedReport of(CrashReport report, long revision) {
            Set<PromptPartKey> parts =
                    report.parts().stream().map(PromptPartKey::new).collect(Collectors.toUnmodifiableSet());
            return new RevisedReport(report.upstream(), report.episode(), parts, revision);
        }
    }
}
