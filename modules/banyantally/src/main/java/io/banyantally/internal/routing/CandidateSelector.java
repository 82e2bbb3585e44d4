package io.banyantally.internal.routing;

import io.banyantally.upstream.EngineRole;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Selects a route among the upstreams that accept a request, at random from those with the best scores. Without the
 * random choice, VMs that share the same stale load view would all send to the same upstream.
 */
final class CandidateSelector {
    /**
     * Larger services are not scored as a whole, but only the upstreams that cache the prefix and a sample of the
     * others.
     */
    private static final int FULL_SCORING_LIMIT = 64;

    private static final int SAMPLE_SIZE = 32;

    /** Bounds the scoring of upstreams that cache the prefix, since many upstreams cache a popular one. */
    private static final int MAXIMUM_SCORED_HOLDERS = 32;

    /** The route is selected at random among at most this many. */
    private static final int MAXIMUM_TOP_ROUTES = 3;

    /** Routes whose score exceeds the best one by more than this are not selected. */
    private static final double TOP_SCORE_MARGIN = 0.08;

    /**
     * Added to the score of a split route, since either of its two upstreams can fail. Above {@link #TOP_SCORE_MARGIN},
     * so that the random selection does not cancel it out.
     */
    private static final double SPLIT_MARGIN = 0.2;

    private final Scorer scorer;
    private final PrefixIndex index;
    private final Supplier<RandomGenerator> random;

    CandidateSelector(Scorer scorer, PrefixIndex index, Supplier<RandomGenerator> random) {
        this.scorer = scorer;
        this.index = index;
        this.random = random;
    }

    /** Returns the route for a generation, or null when no upstream accepts it. */
    ScoredRoute selectEngine(
            UpstreamState[] service, RoutingRequest request, long[] hashes, double transferTokensPerSecond, long now) {
        int[] cached = cachedBlocks(service, hashes, now);
        List<UpstreamState> accepting = accepting(service, cached, request, now);
        int promptTokens = request.work().promptTokens();
        int blocks = blocksFor(promptTokens + request.work().outputTokens());
        TopRoutes best = new TopRoutes();
        for (UpstreamState upstream : accepting) {
            if (Scorer.decodes(upstream)) {
                int cachedBlocks = cachedBlocksAt(service, cached, upstream);
                double uncached = Math.max(1, promptTokens - cachedBlocks * PrefixHashes.BLOCK_TOKENS);
                best.offer(new ScoredRoute(
                        upstream, null, cachedBlocks, scorer.singleUpstreamScore(upstream, uncached, blocks, now)));
            }
        }
        if (hashes.length > 0) {
            offerSplitRoutes(
                    best, service, accepting, cached, promptTokens, hashes, blocks, transferTokensPerSecond, now);
        }
        if (best.isEmpty() && !accepting.isEmpty()) {
            // Only prefill engines are left; a slow answer is preferred to a refusal.
            accepting.forEach(upstream -> best.offer(new ScoredRoute(
                    upstream, null, cachedBlocksAt(service, cached, upstream), upstream.expectedQueuedTokens(now))));
        }
        return best.pickRandom(random.get());
    }

    private void offerSplitRoutes(
            TopRoutes best,
            UpstreamState[] service,
            List<UpstreamState> accepting,
            int[] cached,
            int promptTokens,
            long[] hashes,
            int blocks,
            double transferTokensPerSecond,
            long now) {
        int wholeBlockTokens = hashes.length * PrefixHashes.BLOCK_TOKENS;
        UpstreamState prefill = null;
        double stageSeconds = Double.MAX_VALUE;
        for (UpstreamState upstream : accepting) {
            if (upstream.role() != EngineRole.PREFILL) {
                continue;
            }
            double uncached =
                    wholeBlockTokens - cachedBlocksAt(service, cached, upstream) * (double) PrefixHashes.BLOCK_TOKENS;
            double seconds =
                    scorer.prefillStageSeconds(upstream, uncached, wholeBlockTokens, transferTokensPerSecond, now);
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
                double score =
                        scorer.decodeStageScore(upstream, stageSeconds, promptTokens - wholeBlockTokens, blocks, now)
                                + SPLIT_MARGIN;
                best.offer(new ScoredRoute(upstream, prefill, cachedBlocksAt(service, cached, prefill), score));
            }
        }
    }

    /**
     * Returns the route for a call to a plain service, one of the least loaded upstreams that accept it; null if there
     * is none.
     */
    ScoredRoute selectPlainService(UpstreamState[] service, RoutingRequest request, long now) {
        TopRoutes best = new TopRoutes();
        for (UpstreamState upstream : accepting(service, new int[service.length], request, now)) {
            double load = upstream.expectedStreams(now) / Math.max(1, upstream.settings.callsPerReplica());
            best.offer(new ScoredRoute(upstream, null, 0, load));
        }
        return best.pickRandom(random.get());
    }

    private int[] cachedBlocks(UpstreamState[] service, long[] hashes, long now) {
        int[] cached = new int[service.length];
        for (int block = hashes.length - 1; block >= 0; block--) {
            for (PrefixIndex.Holder holder : index.holders(hashes[block])) {
                int slot = holder.upstream().slot();
                boolean listed = slot < service.length && service[slot] == holder.upstream();
                if (listed && cached[slot] == 0 && holder.expiresAt() > now) {
                    cached[slot] = block + 1;
                }
            }
        }
        return cached;
    }

    private List<UpstreamState> accepting(UpstreamState[] service, int[] cached, RoutingRequest request, long now) {
        List<UpstreamState> accepting = new ArrayList<>(Math.min(service.length, FULL_SCORING_LIMIT));
        if (service.length <= FULL_SCORING_LIMIT) {
            for (UpstreamState upstream : service) {
                addIfAccepting(accepting, upstream, request, now);
            }
            return accepting;
        }
        int holders = 0;
        for (int slot = 0; slot < service.length && holders < MAXIMUM_SCORED_HOLDERS; slot++) {
            if (cached[slot] > 0) {
                holders++;
                addIfAccepting(accepting, service[slot], request, now);
            }
        }
        RandomGenerator generator = random.get();
        int start = generator.nextInt(service.length);
        int step = service.length / SAMPLE_SIZE;
        for (int sample = 0; sample < SAMPLE_SIZE; sample++) {
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

    /** Returns the cached blocks of an upstream; 0 if the table was rebuilt since {@code service} was read. */
    private static int cachedBlocksAt(UpstreamState[] service, int[] cached, UpstreamState upstream) {
        int slot = upstream.slot();
        return slot < service.length && service[slot] == upstream ? cached[slot] : 0;
    }

    private static int blocksFor(int tokens) {
        return (tokens + PrefixHashes.BLOCK_TOKENS - 1) / PrefixHashes.BLOCK_TOKENS;
    }

    /** The routes with the lowest scores so far, lowest score first. */
    private static final class TopRoutes {
        private final ScoredRoute[] routes = new ScoredRoute[MAXIMUM_TOP_ROUTES];
        private int size;

        boolean isEmpty() {
            return size == 0;
        }

        void offer(ScoredRoute route) {
            int position = size;
            while (position > 0 && routes[position - 1].score() > route.score()) {
                position--;
            }
            if (position == MAXIMUM_TOP_ROUTES) {
                return;
            }
            int last = Math.min(size, MAXIMUM_TOP_ROUTES - 1);
            System.arraycopy(routes, position, routes, position + 1, last - position);
            routes[position] = route;
            size = Math.min(MAXIMUM_TOP_ROUTES, size + 1);
        }

        ScoredRoute pickRandom(RandomGenerator generator) {
            if (size == 0) {
                return null;
            }
            int candidates = 1;
            while (candidates < size && routes[candidates].score() <= routes[0].score() + TOP_SCORE_MARGIN) {
                candidates++;
            }
            return routes[candidates == 1 ? 0 : generator.nextInt(candidates)];
        }
    }
}
