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
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;

/**
 * The crashes of upstreams that all VMs reported, and the parts of prompts that were served since. A report counts
 * against a part until a prompt with the part is served later, by any VM. What is known here also counts when the store
 * comes back from an older copy that lacks it.
 */
public final class CrashLedger implements PrefixListener {

    /** Upstreams that crash within this time may have a common cause; a prompt crashes one after the other. */
    static final Duration EPISODE = Duration.ofMillis(400);

    private static final EventLog LOG = EventLog.of(CrashLedger.class);

    private final MonotonicClock clock;
    private final Map<StoreKey, ReceivedReport> reports = new HashMap<>();
    private final Map<PromptPartKey, StoreRevision> clearedUpTo = new HashMap<>();
    private final Map<PromptPartKey, Long> servedUpTo = new HashMap<>();
    private Optional<StoreEra> era = Optional.empty();
    private long received;
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
        served.forEach(part -> servedUpTo.put(part, received));
        evaluate();
    }

    /** Returns the episode of a crash that has just been observed. */
    synchronized long currentEpisode() {
        return episode == 0 || clock.since(episodeStartedAt).compareTo(EPISODE) >= 0 ? episode + 1 : episode;
    }

    /** Returns the parts that are known to have been served and that other VMs are about to blame. */
    synchronized List<PromptPartKey> unpublishedClearances() {
        if (servedUpTo.isEmpty()) {
            return List.of();
        }
        return CrashAttribution.nearlyBlamed(crashes((report, part) -> !isCleared(report, part))).stream()
                .filter(part -> reports.values().stream()
                        .anyMatch(report ->
                                report.parts().contains(part) && !isCleared(report, part) && isServed(report, part)))
                .sorted()
                .toList();
    }

    @Override
    public synchronized void listed(StoreListing listing) {
        StoreRevision listed = listing.revision();
        boolean returned = era.isPresent() && listed.era().isAfter(era.get());
        era = Optional.of(listed.era());
        if (returned) {
            keepClearances();
        }
        Set<StoreKey> present = listing.items().stream().map(StoreItem::key).collect(Collectors.toSet());
        reports.entrySet()
                .removeIf(report -> !present.contains(report.getKey())
                        && !returned
                        && !report.getValue().lostByStore());
        if (returned) {
            reports.replaceAll((key, report) -> report.lostBefore(listed));
        }
        clearedUpTo.clear();
        listing.items().stream()
                .sorted(Comparator.comparing(item -> item.versioned().revision()))
                .forEach(this::written);
        evaluate();
        read = true;
    }

    /** Keeps which reports do not count, as the copy that the store came back from may lack that. */
    private void keepClearances() {
        reports.values()
                .forEach(report -> report.parts().stream()
                        .filter(part -> isCleared(report, part))
                        .forEach(part -> servedUpTo.merge(part, report.number(), Math::max)));
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
        StoreRevision revision = item.versioned().revision();
        Optional<PromptPartKey> cleared = CrashStoreKeys.clearedPart(item.key());
        if (cleared.isPresent()) {
            clearedUpTo.put(cleared.get(), revision);
            return;
        }
        try {
            CrashReport report = WireFormat.decode(item.value(), CrashReport.class);
            ReceivedReport former = reports.get(item.key());
            long number = former == null ? ++received : former.number();
            long receivedAt = former == null ? clock.nanoTime() : former.receivedAt();
            reports.put(item.key(), ReceivedReport.of(report, revision, number, receivedAt));
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
            servedUpTo.keySet().retainAll(reported);
        }
        CrashStoreKeys.clearedPart(key).ifPresent(clearedUpTo::remove);
    }

    private void evaluate() {
        reports.values()
                .removeIf(report -> report.lostByStore()
                        && clock.since(report.receivedAt()).compareTo(CrashReporter.LIFETIME) >= 0);
        Collection<Crash> crashes = crashes((report, part) -> !isCleared(report, part) && !isServed(report, part));
        suspected = crashes.stream().flatMap(crash -> crash.parts().stream()).collect(Collectors.toUnmodifiableSet());
        List<Set<PromptPartKey>> previous = crashing;
        crashing = CrashAttribution.blame(crashes);
        if (!previous.equals(crashing)) {
            LOG.warn("crashing_prompts", EventField.of("parts", crashing), EventField.of("crashes", crashes.size()));
        }
    }

    /** Returns the crashes with the parts of their reports that count. */
    private Collection<Crash> crashes(BiPredicate<ReceivedReport, PromptPartKey> counts) {
        Map<String, Crash> byUpstream = new HashMap<>();
        for (ReceivedReport report : reports.values()) {
            Set<PromptPartKey> counted = report.parts().stream()
                    .filter(part -> counts.test(report, part))
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

    private boolean isCleared(ReceivedReport report, PromptPartKey part) {
        StoreRevision cleared = clearedUpTo.get(part);
        return cleared != null && !report.revision().isAfter(cleared);
    }

    private boolean isServed(ReceivedReport report, PromptPartKey part) {
        return report.number() <= servedUpTo.getOrDefault(part, 0L);
    }

    /**
     * A report of a crash.
     *
     * @param number counts the reports in the order in which this process received them, also over eras of the store
     * @param receivedAt the monotonic time in nanoseconds
     * @param lostByStore whether the store came back from an older copy and the report has not been seen there
     */
    private record ReceivedReport(
            String upstream,
            long episode,
            Set<PromptPartKey> parts,
            StoreRevision revision,
            long number,
            long receivedAt,
            boolean lostByStore) {

        static ReceivedReport of(CrashReport report, StoreRevision revision, long number, long receivedAt) {
            Set<PromptPartKey> parts =
                    report.parts().stream().map(PromptPartKey::new).collect(Collectors.toUnmodifiableSet());
            return new ReceivedReport(report.upstream(), report.episode(), parts, revision, number, receivedAt, false);
        }

        /** Returns the report as one that is newer than all that the store has at its return. */
        ReceivedReport lostBefore(StoreRevision returned) {
            return new ReceivedReport(upstream, episode, parts, returned, number, receivedAt, true);
        }
    }
}
