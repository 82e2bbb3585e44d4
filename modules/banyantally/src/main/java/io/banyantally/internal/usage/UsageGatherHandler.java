package io.banyantally.internal.usage;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.model.ClientAccountId;
import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Predicate;

/** Answers which counters this process holds. */
public final class UsageGatherHandler {

    static final Topic TOPIC = new Topic("usage.gather");
    static final MessagePackCodec<GatherQuestion> QUESTIONS = MessagePackCodec.of(GatherQuestion.class);
    static final MessagePackCodec<GatherAnswer> ANSWERS = MessagePackCodec.of(GatherAnswer.class);

    /** Ends a page; with one more origin of 4,000 counters it stays below the largest payload. */
    private static final int PAGE_COUNTERS = 8_000;

    private final UsageCounters counters;
    private final AtomicLongArray lastWindows = new AtomicLongArray(UsageBuckets.COUNT);

    /** Creates the handler and handles the topic {@code usage.gather}. */
    public UsageGatherHandler(PeerNetwork peers, UsageCounters counters) {
        this.counters = counters;
        peers.handle(TOPIC, (sender, payload) -> ANSWERS.encode(answer(QUESTIONS.decode(payload))));
    }

    GatherAnswer answer(GatherQuestion question) {
        List<CounterOrigin> origins = question.ownOnly() ? List.of(counters.own()) : counters.origins();
        Predicate<ClientAccountId> which = account ->
                question.bucket() == GatherQuestion.ALL_BUCKETS || UsageBuckets.of(account) == question.bucket();
        CounterTable page = new CounterTable();
        int next = question.fromOrigin();
        while (next < origins.size() && page.size() < PAGE_COUNTERS) {
            page.mergeAll(counters.countersOf(origins.get(next), which));
            next++;
        }
        boolean complete = next >= origins.size();
        return new GatherAnswer(
                CounterCodec.encode(page),
                complete ? GatherAnswer.COMPLETE : next,
                complete ? lastWindowBefore(question) : 0);
    }

    private long lastWindowBefore(GatherQuestion question) {
        if (question.bucket() == GatherQuestion.ALL_BUCKETS || question.window() == 0) {
            return 0;
        }
        if (question.heardBefore()) {
            counters.countHeardAnswer(question.bucket());
        }
        return lastWindows.getAndAccumulate(question.bucket(), question.window(), Math::max);
    }
}
