package io.banyantally.standins.engine;

import io.banyantally.upstream.GenerationRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The most recent generations, and totals over all. */
final class GenerationLog {

    private final int maximumKept;
    private final Deque<GenerationRecord> generations = new ArrayDeque<>();
    private long started;
    private long finished;
    private long tokens;

    GenerationLog(int maximumKept) {
        this.maximumKept = maximumKept;
    }

    synchronized void recordStart() {
        started++;
    }

    synchronized void recordEnd(
            GenerationRequest request, int promptTokens, int cached, int sent, GenerationRecord.Outcome outcome) {
        tokens += sent;
        if (outcome == GenerationRecord.Outcome.FINISHED) {
            finished++;
        }
        generations.addLast(new GenerationRecord(
                request.exchange().toString(),
                request.model().value(),
                ExpectedText.ofPrompt(request.prompt()).token(0),
                request.priority(),
                promptTokens,
                cached,
                request.firstIndex(),
                sent,
                outcome));
        if (generations.size() > maximumKept) {
            generations.removeFirst();
        }
    }

    synchronized List<GenerationRecord> generations() {
        return List.copyOf(generations);
    }

    synchronized long startedCount() {
        return started;
    }

    synchronized long finishedCount() {
        return finished;
    }

    synchronized long tokenCount() {
        return tokens;
    }
}
