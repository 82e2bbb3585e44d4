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

/** The counters of this process and the copies that it holds for its peers. Counters only grow. */
public final class UsageCounters {

    /**
     * Copies that did not grow while this many answers were taken in every bucket are dropped: they were billed. Below
     * {@link SealedWindow#SILENT_WINDOWS}, so that copies of a gone process are dropped before its tombstone is made.
     */
    static final int HEARD_ANSWERS = 5;

    private final CounterOrigin own;
    private final ConcurrentMap<CounterOrigin, Row> rows = new ConcurrentHashMap<>();
    private final AtomicLongArray heardAnswers = new AtomicLongArray(UsageBuckets.COUNT);

    /** Creates counters that are all zero. */
    public UsageCounters(Peer self) {
        own = CounterOrigin.of(self);
        rows.put(own, new Row());
    }

    /** Returns the origin of the work that this process serves. */
    public CounterOrigin own() {
        return own;
    }

    /** Adds usage served by this process. */
    void add(ClientAccountId account, UsageFigures added) {
        rows.get(own).counters.merge(account, added, UsageFigures::plus);
    }

    /** Takes counters of other processes. Those of this process are not taken from others: it has the highest. */
    void merge(CounterTable table) {
        for (CounterOrigin origin : table.origins()) {
            if (origin.equals(own)) {
                continue;
            }
            Row row = rows.computeIfAbsent(origin, none -> new Row());
            table.row(origin).forEach(row::raise);
        }
    }

    /** Notes that the previous answer for a bucket was taken, and drops the copies that were billed long ago. */
    void countHeardAnswer(int bucket) {
        heardAnswers.incrementAndGet(bucket);
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

    /** Returns the accounts for which this process served work. */
    List<ClientAccountId> ownAccounts() {
        return rows.get(own).counters.keySet().stream().sorted().toList();
    }

    /** Returns the counters of one origin, of the accounts that {@code which} accepts. */
    CounterTable countersOf(CounterOrigin origin, Predicate<ClientAccountId> which) {
        CounterTable table = new CounterTable();
        table.addOrigin(origin);
        Row row = rows.get(origin);
        if (row != null) {
            row.counters.forEach((account, figures) -> {
                if (which.test(account)) {
                    table.merge(origin, account, figures);
                }
            });
        }
        return table;
    }

    private final class Row {
        private final ConcurrentMap<ClientAccountId, UsageFigures> counters = new ConcurrentHashMap<>();
        private volatile long[] heardAtGrowth = heardNow();

        void raise(ClientAccountId account, UsageFigures figures) {
            UsageFigures before = counters.get(account);
            if (!figures.equals(before)
                    && !counters.merge(account, figures, FigureArithmetic::maximum)
                            .equals(before)) {
                heardAtGrowth = heardNow();
            }
        }

        boolean isBilled() {
            for (int bucket = 0; bucket < UsageBuckets.COUNT; bucket++) {
                if (heardAnswers.get(bucket) - heardAtGrowth[bucket] < HEARD_ANSWERS) {
                    return false;
                }
            }
            return true;
        }

        private long[] heardNow() {
            long[] heard = new long[UsageBuckets.COUNT];
            for (int bucket = 0; bucket < heard.length; bucket++) {
                heard[bucket] = heardAnswers.get(bucket);
            }
            return heard;
        }
    }
}
