package io.banyantally.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts calls by kind. A waiting watch counts once. */
final class CallCounts {

    private final Map<String, LongAdder> counts = new ConcurrentSkipListMap<>();

    void count(String kind) {
        counts.computeIfAbsent(kind, _ -> new LongAdder()).increment();
    }

    List<CallCount> all() {
        List<CallCount> all = new ArrayList<>();
        counts.forEach((kind, count) -> all.add(new CallCount(kind, count.sum())));
        return all;
    }
}
