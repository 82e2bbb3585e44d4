package io.banyantally.standins.engine;

import io.banyantally.upstream.GenerationRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Keeps the last generations and totals over all. */
final class GenerationLog {

    private final int kept;
    private final Deque<RanGeneration> generations = new ArrayDeque<>();
    private long started;
    private long finished;
    private long tokens;

    GenerationLog(int kept) {
        this.kept = kept;
    }

    synchronized void started() {
        started++;
    }

    synchronized void add(
            GenerationRequest request, int promptTokens, int cached, int sent, RanGeneration.Outcome outcome) {
        tokens += sent;
        if (outcome == RanGeneration.Outcome.FINISHED) {
            finished++;
        }
        generations.addLast(new RanGeneration(
                request.exchange().toString(),
                request.model().value(),
                ExpectedText.ofPrompt(request.prompt()).token(0),
                request.priority(),
                promptTokens,
                cached,
                request.firstIndex(),
                sent,
                outcome));
        if (generations.size() > kept) {
            generations.removeFirst();
        }
    }

    synchronized List<RanGeneration> generations() {
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
