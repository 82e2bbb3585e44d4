package io.banyantally.internal.placement;

import io.banyantally.deployment.PromptFacts;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReportedLoad;
import io.banyantally.model.UpstreamId;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Chooses the engine that can begin an answer first.
 *
 * <p>Answers the load of long prompts of which two thirds are shared by a session: all engines together hold the KV caches
 * of all sessions, one engine only a part. Each session has a home engine by rendezvous hashing, on which all VMs agree
 * without a message and which moves only the sessions of an engine that goes. A home whose queue exceeds what reading the
 * session elsewhere costs is passed over for the second engine of the hash, so that a spilled session is spilled to the
 * same place by all VMs.
 */
public final class PromptPlacement implements Placement {

    /** Prompt tokens that a decoding engine reads in a millisecond: half of the rate of one that only reads prompts. */
    static final double TOKENS_PER_MILLI = 257;

    /** The time that one running request adds to a step of others. */
    static final double RUNNING_MILLIS = 0.6;

    /** The time that a request waiting at an engine takes before the next one: an average prompt without its session. */
    static final double WAITING_MILLIS = 12;

    /** Engines whose cost is looked at apart from the home; more would scatter sessions. */
    private static final int SPILL_CHOICES = 2;

    /** Reported loads are some hundred milliseconds old when they arrive. */
    static final Duration LOAD_VALIDITY = Duration.ofMillis(400);

    /** Shorter prompts are balanced only: reading them again costs less than a millisecond. */
    static final int SMALLEST_HOMED_TOKENS = 512;

    private final LeastLoadedPlacement balanced;

    /** Creates the policy; prompts too short for a home go to the engine with the least load. */
    public PromptPlacement(LeastLoadedPlacement balanced) {
        this.balanced = balanced;
    }

    @Override
    public Optional<Choice> choose(Optional<PromptFacts> prompt, List<Candidate> candidates) {
        List<Candidate> trusted = candidates.stream().filter(Candidate::trusted).toList();
        List<Candidate> usable = trusted.isEmpty() ? candidates : trusted;
        if (prompt.isEmpty() || prompt.get().promptTokens() < SMALLEST_HOMED_TOKENS) {
            return balanced.choose(prompt, usable);
        }
        String session = sessionOf(prompt.get());
        List<Candidate> ranked = usable.stream()
                .sorted(Comparator.comparingLong((Candidate candidate) ->
                                weight(session, candidate.entry().id()))
                        .reversed())
                .toList();
        Choice best = null;
        for (int rank = 0; rank < Math.min(ranked.size(), 1 + SPILL_CHOICES); rank++) {
            Choice choice = new Choice(
                    ranked.get(rank), cost(prompt.get(), ranked.get(rank), rank), rank == 0 ? "home" : "spilled");
            if (best == null || choice.costMillis() < best.costMillis()) {
                best = choice;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the last part of the prompt that other requests share. */
    static String sessionOf(PromptFacts prompt) {
        List<PromptPart> parts = prompt.parts();
        return parts.isEmpty() ? "" : parts.get(Math.max(0, parts.size() - 2)).id();
    }

    private static double cost(PromptFacts prompt, Candidate candidate, int rank) {
        List<PromptPart> parts = prompt.parts();
        int own = parts.isEmpty() ? prompt.promptTokens() : parts.getLast().tokens();
        int session = parts.size() < 2 ? 0 : parts.get(parts.size() - 2).tokens();
        double read = (own + (rank == 0 ? 0 : session)) / TOKENS_PER_MILLI;
        double queue = candidate.outstanding() * RUNNING_MILLIS + candidate.outstanding() * WAITING_MILLIS / 2;
        double reported = 0;
        if (candidate.loadAgeNanos() < LOAD_VALIDITY.toNanos()
                && candidate.load().isPresent()) {
            ReportedLoad load = candidate.load().get();
            reported = load.waiting() * WAITING_MILLIS + load.running() * RUNNING_MILLIS;
        }
        return read + Math.max(queue, reported);
    }

    private static long weight(String session, UpstreamId engine) {
        CRC32C checksum = new CRC32C();
        checksum.update((session + "/" + engine.value()).getBytes(StandardCharsets.UTF_8));
        // A checksum is linear, so names that differ in one place would give related orders without the mixing.
        long mixed = checksum.getValue() * 0x9E3779B97F4A7C15L;
        return (mixed ^ (mixed >>> 29)) >>> 1;
    }
}
