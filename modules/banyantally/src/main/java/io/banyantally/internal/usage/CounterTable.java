package io.banyantally.internal.usage;

import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.UsageFigures;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Counters by origin and client account, merged by maximum. Not safe for use by several threads. */
final class CounterTable {

    private final Map<CounterOrigin, Map<ClientAccountId, UsageFigures>> rows = new TreeMap<>();

    CounterTable copy() {
        CounterTable copy = new CounterTable();
        copy.mergeAll(this);
        return copy;
    }

    Set<CounterOrigin> origins() {
        return Set.copyOf(rows.keySet());
    }

    boolean contains(CounterOrigin origin) {
        return rows.containsKey(origin);
    }

    /** Returns only the counters of a bucket's accounts; origins without any are left out. */
    CounterTable selectBucket(int bucket) {
        CounterTable selected = new CounterTable();
        rows.forEach((origin, row) -> row.forEach((account, figures) -> {
            if (UsageBuckets.of(account) == bucket) {
                selected.merge(origin, account, figures);
            }
        }));
        return selected;
    }

    Set<ClientAccountId> accounts() {
        Set<ClientAccountId> accounts = new TreeSet<>();
        rows.values().forEach(row -> accounts.addAll(row.keySet()));
        return accounts;
    }

    /** Returns the counters of an origin; empty if it is not known. */
    Map<ClientAccountId, UsageFigures> row(CounterOrigin origin) {
        return Map.copyOf(rows.getOrDefault(origin, Map.of()));
    }

    UsageFigures figures(CounterOrigin origin, ClientAccountId account) {
        return rows.getOrDefault(origin, Map.of()).getOrDefault(account, UsageFigures.ZERO);
    }

    /** Adds an origin without counters if it is not known. */
    void addOrigin(CounterOrigin origin) {
        rows.computeIfAbsent(origin, key -> new TreeMap<>());
    }

    void merge(CounterOrigin origin, ClientAccountId account, UsageFigures figures) {
        rows.computeIfAbsent(origin, key -> new TreeMap<>()).merge(account, figures, FigureArithmetic::maximum);
    }

    void mergeRow(CounterOrigin origin, Map<ClientAccountId, UsageFigures> row) {
        addOrigin(origin);
        row.forEach((account, figures) -> merge(origin, account, figures));
    }

    void mergeAll(CounterTable other) {
        other.rows.forEach(this::mergeRow);
    }

    void removeOrigins(Predicate<CounterOrigin> condition) {
        rows.keySet().removeIf(condition);
    }

    int size() {
        return rows.values().stream().mapToInt(Map::size).sum();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CounterTable that && rows.equals(that.rows);
    }

    @Override
    public int hashCode() {
        return rows.hashCode();
    }

    @Override
    public String toString() {
        return rows.toString();
    }
}
