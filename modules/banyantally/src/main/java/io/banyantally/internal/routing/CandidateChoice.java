package io.banyantally.internal.routing;

import io.banyantally.upstream.EngineRole;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Chooses among the upstreams that accept a request, by a draw among the best few. VMs with the same stale view would
 * otherwise all choose the same one.
 */
final class CandidateChoice {
    /** Up to this many upstreams are all scored; of more, those that hold the prefix and a sample. */
    private static final int SCORE_ALL = 64;

    private static final int SAMPLE = 32;

    /** Holders of the longest prefix that are scored at most; a popular prefix is held by many. */
    private static final int SCORED_HOLDERS = 32;

    /** The draw is among this many at most. */
    private static final int BEST_FEW = 3;

    /** The draw leaves out upstreams whose score is worse than the best by more than this. */
    private static final double BEST_FEW_MARGIN = 0.08;

    /** A split must be better by this much, for its two stages can fail in two places; above the margin of the draw. */
    private static final double SPLIT_MARGIN = 0.2;

    private final Scorer scorer;
    private final PrefixIndex index;
    private final Supplier<RandomGenerator> random;

    CandidateChoice(Scorer scorer, PrefixIndex index, Supplier<RandomGenerator> random) {
        this.scorer = scorer;
        this.index = index;
        this.random = random;
    }

    /** Returns the choice for a generation, or null when no upstream accepts it. */
    Choice engine(UpstreamState[] service, RoutingRequest request, long[] hashes, double copyRate, long now) {
        int[] cached = cachedBlocks(service, hashes, now);
        List<UpstreamState> accepting = accepting(service, cached, request, now);
        int prompt = request.work().promptTokens();
        int blocks = blocksOf(prompt + request.work().outputTokens());
        BestFew best = new BestFew();
        for (UpstreamState upstream : accepting) {
            if (Scorer.decodes(upstream)) {
                int held = cachedAt(service, cached, upstream);
                double uncached = Math.max(1, prompt - held * PrefixHashes.BLOCK_TOKENS);
                best.offer(new Choice(upstream, null, held, scorer.single(upstream, uncached, blocks, now)));
            }
        }
        if (hashes.length > 0) {
            offerSplits(best, service, accepting, cached, prompt, hashes, blocks, copyRate, now);
        }
        if (best.isEmpty() && !accepting.isEmpty()) {
            // Only prefill engines are left; a slow answer is better than none.
            accepting.forEach(upstream -> best.offer(
                    new Choice(upstream, null, cachedAt(service, cached, upstream), upstream.queuedTokens(now))));
        }
        return best.draw(random.get());
    }

    private void offerSplits(
            BestFew best,
            UpstreamState[] service,
            List<UpstreamState> accepting,
            int[] cached,
            int prompt,
            long[] hashes,
            int blocks,
            double copyRate,
            long now) {
        int whole = hashes.length * PrefixHashes.BLOCK_TOKENS;
        UpstreamState prefill = null;
        double stageSeconds = Double.MAX_VALUE;
        for (UpstreamState upstream : accepting) {
            if (upstream.role() != EngineRole.PREFILL) {
                continue;
            }
            double uncached = whole - cachedAt(service, cached, upstream) * (double) PrefixHashes.BLOCK_TOKENS;
            double seconds = scorer.prefillStage(upstream, uncached, whole, copyRate, now);
            if (seconds < stageSeconds) {
                prefill = upstream;
                stageSeconds = seconds;
            }
        }
        if (prefill == null) {
            return;
        }
        for (UpstreamState upstream : accepting) {
            if (Scorer.decodes(upstream)) {
                double score = scorer.decodeStage(upstream, stageSeconds, prompt - whole, blocks, now) + SPLIT_MARGIN;
                best.offer(new Choice(upstream, prefill, cachedAt(service, cached, prefill), score));
            }
        }
    }

    /** Returns the choice for a call to a plain service: the least loaded of those that accept it. */
    Choice plainService(UpstreamState[] service, RoutingRequest request, long now) {
        BestFew best = new BestFew();
        for (UpstreamState upstream : accepting(service, new int[service.length], request, now)) {
            double load = upstream.streams(now) / Math.max(1, upstream.settings.callsPerReplica());
            best.offer(new Choice(upstream, null, 0, load));
        }
        return best.draw(random.get());
    }

    private int[] cachedBlocks(UpstreamState[] service, long[] hashes, long now) {
        int[] cached = new int[service.length];
        for (int block = hashes.length - 1; block >= 0; block--) {
            for (PrefixIndex.Holder holder : index.holders(hashes[block])) {
                int slot = holder.upstream().slot();
                boolean listed = slot < service.length && service[slot] == holder.upstream();
                if (listed && cached[slot] == 0 && holder.until() > now) {
                    cached[slot] = block + 1;
                }
            }
        }
        return cached;
    }

    private List<UpstreamState> accepting(UpstreamState[] service, int[] cached, RoutingRequest request, long now) {
        List<UpstreamState> accepting = new ArrayList<>(Math.min(service.length, SCORE_ALL));
        if (service.length <= SCORE_ALL) {
            for (UpstreamState upstream : service) {
                addIfAccepting(accepting, upstream, request, now);
            }
            return accepting;
        }
        int holders = 0;
        for (int slot = 0; slot < service.length && holders < SCORED_HOLDERS; slot++) {
            if (cached[slot] > 0) {
                holders++;
                addIfAccepting(accepting, service[slot], request, now);
            }
        }
        RandomGenerator generator = random.get();
        int start = generator.nextInt(service.length);
        int step = service.length / SAMPLE;
        for (int sample = 0; sample < SAMPLE; sample++) {
            int slot = (start + sample * step) % service.length;
            if (cached[slot] == 0) {
                addIfAccepting(accepting, service[slot], request, now);
            }
        }
        for (int slot = 0; slot < service.length && accepting.isEmpty(); slot++) {
            addIfAccepting(accepting, service[slot], request, now);
        }
        return accepting;
    }

    private static void addIfAccepting(
            List<UpstreamState> accepting, UpstreamState upstream, RoutingRequest request, long now) {
        boolean allowed = request.excluded().isEmpty() || acceptsRetry(upstream, request);
        if (allowed && !upstream.known().leaving() && upstream.health.accepts(now)) {
            accepting.add(upstream);
        }
    }

    private static boolean acceptsRetry(UpstreamState upstream, RoutingRequest request) {
        return !request.excluded().contains(upstream.known().id()) && upstream.retries.allowsRetry();
    }

    /** Returns the cached blocks of an upstream; none if the table was rebuilt since {@code service} was read. */
    private static int cachedAt(UpstreamState[] service, int[] cached, UpstreamState upstream) {
        int slot = upstream.slot();
        return slot < service.length && service[slot] == upstream ? cached[slot] : 0;
    }

    private static int blocksOf(int tokens) {
        return (tokens + PrefixHashes.BLOCK_TOKENS - 1) / PrefixHashes.BLOCK_TOKENS;
    }

    /** The best choices so far, best first. */
    private static final class BestFew {
        private final Choice[] choices = new Choice[BEST_FEW];
        private int size;

        boolean isEmpty() {
            return size == 0;
        }

        void offer(Choice choice) {
            int place = size;
            while (place > 0 && choices[place - 1].score() > choice.score()) {
                place--;
            }
            if (place == BEST_FEW) {
                return;
            }
            int last = Math.min(size, BEST_FEW - 1);
            System.arraycopy(choices, place, choices, place + 1, last - place);
            choices[place] = choice;
            size = Math.min(BEST_FEW, size + 1);
        }

        Choice draw(RandomGenerator generator) {
            if (size == 0) {
                return null;
            }
            int close = 1;
            while (close < size && choices[close].score() <= choices[0].score() + BEST_FEW_MARGIN) {
                close++;
            }
            return choices[close == 1 ? 0 : generator.nextInt(close)];
        }
    }
}
