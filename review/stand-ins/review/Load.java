package review;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** What the callers of one gateway have sent and got, and whether they go on. */
final class Load {

    private final LongAdder sent = new LongAdder();
    private final Map<Integer, LongAdder> answersByStatus = new ConcurrentHashMap<>();
    private volatile boolean ended;

    void countSent() {
        sent.increment();
    }

    void countAnswer(int status) {
        answersByStatus.computeIfAbsent(status, unseen -> new LongAdder()).increment();
    }

    void end() {
        ended = true;
    }

    boolean isEnded() {
        return ended;
    }

    @Override
    public String toString() {
        return sent + " sent, answers by status " + new TreeMap<>(answersByStatus);
    }
}
