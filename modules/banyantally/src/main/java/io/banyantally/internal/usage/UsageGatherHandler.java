package io.banyantally.internal.usage;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.model.ClientAccountId;
import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Predicate;

/** Answers the queries of peers for the counters that this process holds. */
public final class UsageGatherHandler {

    static final Topic TOPIC = new Topic("usage.gather");
    static final MessagePackCodec<GatherQuery> QUERY_CODEC = MessagePackCodec.of(GatherQuery.class);
    static final MessagePackCodec<GatherAnswer> ANSWER_CODEC = MessagePackCodec.of(GatherAnswer.class);

    /**
     * A page ends once it has this many counters; with one more origin of 4,000 counters it stays below the payload
     * limit.
     */
    private static final int COUNTERS_PER_PAGE = 8_000;

    private final UsageCounters counters;
    private final AtomicLongArray lastWindows = new AtomicLongArray(UsageBuckets.COUNT);

    /** Creates the handler and registers it for the topic {@code usage.gather}. */
    public UsageGatherHandler(PeerNetwork peers, UsageCounters counters) {
        this.counters = counters;
        peers.handle(TOPIC, (sender, payload) -> ANSWER_CODEC.encode(answer(QUERY_CODEC.decode(payload))));
    }

    GatherAnswer answer(GatherQuery query) {
        List<CounterOrigin> origins = query.ownOnly() ? List.of(counters.own()) : counters.origins();
        Predicate<ClientAccountId> filter =
                account -> query.bucket() == GatherQuery.ALL_BUCKETS || UsageBuckets.of(account) == query.bucket();
        CounterTable page = new CounterTable();
        int next = query.fromOrigin();
        while (next < origins.size() && page.size() < COUNTERS_PER_PAGE) {
            page.mergeAll(counters.countersOf(origins.get(next), filter));
            next++;
        }
        boolean complete = next >= origins.size();
        return new GatherAnswer(
                CounterCodec.encode(page),
                complete ? GatherAnswer.COMPLETE : next,
                complete ? replaceLastWindow(query) : 0);
    }

    private long replaceLastWindow(GatherQuery query) {
        if (query.bucket() == GatherQuery.ALL_BUCKETS || query.window() == 0) {
            return 0;
        }
        if (query.heardBefore()) {
            counters.countAcceptedAnswer(query.bucket());
        }
        return lastWindows.getAndAccumulate(query.bucket(), query.window(), Math::max);
    }
}
