package io.banyantally.internal.usage;

import io.banyantally.internal.peer.Peer;
import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.UsageFigures;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Predicate;

/** The counters of this process and the copies that it holds for its peers. Counters never decrease. */
public final class UsageCounters {

    /**
     * Copies that did not grow while this many answers of this process were used in every bucket are dropped, since
     * they were billed. Below {@link SealedWindow#INACTIVE_WINDOWS_BEFORE_TOMBSTONE}, so that copies of a stopped
     * process are dropped before its tombstone is written.
     */
    static final int ACCEPTED_ANSWERS_BEFORE_DROP = 5;

    private final CounterOrigin own;
    private final ConcurrentMap<CounterOrigin, Row> rows = new ConcurrentHashMap<>();
    private final AtomicLongArray acceptedAnswers = new AtomicLongArray(UsageBuckets.COUNT);

    /** Creates counters that are all zero. */
    public UsageCounters(Peer self) {
        own = CounterOrigin.of(self);
        rows.put(own, new Row());
    }

    /** Returns this process as the origin of its own counters. */
    public CounterOrigin own() {
        return own;
    }

    /** Adds usage served by this process. */
    void add(ClientAccountId account, UsageFigures added) {
        rows.get(own).counters.merge(account, added, UsageFigures::plus);
    }

    /**
     * Merges counters of other processes. Copies of this process's own counters are ignored, since its own are the
     * highest.
     */
    void merge(CounterTable table) {
        for (CounterOrigin origin : table.origins()) {
            if (origin.equals(own)) {
                continue;
            }
            Row row = rows.computeIfAbsent(origin, key -> new Row());
            table.row(origin).forEach(row::raise);
        }
    }

    /**
     * Records that the previous answer for a bucket was used by the sealer, and drops the copies that were billed
     * since.
     */
    void countAcceptedAnswer(int bucket) {
        acceptedAnswers.incrementAndGet(bucket);
        rows.entrySet()
                .removeIf(
                        entry -> !entry.getKey().equals(own) && entry.getValue().isBilled());
    }

    /** Returns the origins of which this process holds counters, in a fixed order. */
    List<CounterOrigin> origins() {
        return rows.keySet().stream().sorted().toList();
    }

    /** Returns this process's own counters of some accounts. */
    CounterTable ownCounters(Collection<ClientAccountId> accounts) {
        CounterTable table = new CounterTable();
        table.addOrigin(own);
        Map<ClientAccountId, UsageFigures> row = rows.get(own).counters;
        for (ClientAccountId account : accounts) {
            UsageFigures figures = row.get(account);
            if (figures != null) {
                table.merge(own, account, figures);
            }
        }
        return table;
    }

    /** Returns the accounts for which this process served requests. */
    List<ClientAccountId> ownAccounts() {
        return rows.get(own).counters.keySet().stream().sorted().toList();
    }

    /** Returns the counters of one origin for the accounts that {@code filter} accepts. */
    CounterTable countersOf(CounterOrigin origin, Predicate<ClientAccountId> filter) {
        CounterTable table = new CounterTable();
        table.addOrigin(origin);
        Row row = rows.get(origin);
        if (row != null) {
            row.counters.forEach((account, figures) -> {
                if (filter.test(account)) {
                    table.merge(origin, account, figures);
                }
            });
        }
        return table;
    }

    private final class Row {
        private final ConcurrentMap<ClientAccountId, UsageFigures> counters = new ConcurrentHashMap<>();
        private volatile long[] acceptedAtLastGrowth = acceptedAnswersByBucket();

        void raise(ClientAccountId account, UsageFigures figures) {
            UsageFigures before = counters.get(account);
            if (!figures.equals(before)
                    && !counters.merge(account, figures, FigureArithmetic::maximum)
                            .equals(before)) {
                acceptedAtLastGrowth = acceptedAnswersByBucket();
            }
        }

        boolean isBilled() {
            for (int bucket = 0; bucket < UsageBuckets.COUNT; bucket++) {
                if (acceptedAnswers.get(bucket) - acceptedAtLastGrowth[bucket] < ACCEPTED_ANSWERS_BEFORE_DROP) {
                    return false;
                }
            }
            return true;
        }

        private long[] acceptedAnswersByBucket() {
            long[] accepted = new long[UsageBuckets.COUNT];
            for (int bucket = 0; bucket < accepted.length; bucket++) {
                accepted[bucket] = acceptedAnswers.get(bucket);
            }
            return accepted;
        }
    }
}
