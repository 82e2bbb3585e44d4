package io.banyantally.internal.placement;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.UpstreamId;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the upstream of a plain request, and takes the send from the limit that the upstream has named. Upstreams that
 * leave, wait or have no send left are passed over when they are looked at, so that a choice among a few does not check
 * all.
 */
public final class PlainPlacement {

    private final UpstreamNotices notices;
    private final UpstreamLimits limits;
    private final UpstreamTracks tracks;
    private final Placement placement;
    private final MonotonicClock clock;

    /** Creates the choice. */
    public PlainPlacement(
            UpstreamNotices notices,
            UpstreamLimits limits,
            UpstreamTracks tracks,
            Placement placement,
            MonotonicClock clock) {
        this.notices = notices;
        this.limits = limits;
        this.tracks = tracks;
        this.placement = placement;
        this.clock = clock;
    }

    /**
     * Decides until the limit of the chosen upstream leaves a send; other requests may have taken it meanwhile.
     *
     * @param upstreams all known upstreams of the service
     * @param included whether one accepts new work and has not been tried
     */
    public Placement.Decision take(
            Placement.Demand demand, List<ReplicaEntry> upstreams, Predicate<ReplicaEntry> included) {
        Set<UpstreamId> exhausted = new HashSet<>();
        while (true) {
            Placement.Decision decision = placement.decide(
                    demand,
                    new Accepting(
                            upstreams,
                            included.and(entry -> exhausted.isEmpty() || !exhausted.contains(entry.id())),
                            clock.nanoTime()));
            if (!(decision instanceof Placement.Decision.Send send)
                    || limits.tryTake(send.candidate().entry())) {
                return decision;
            }
            exhausted.add(send.candidate().entry().id());
        }
    }

    /** The upstreams that accept the request at one moment. */
    private final class Accepting implements CandidateSource {
        private final List<ReplicaEntry> upstreams;
        private final List<UpstreamTrack> itsTracks;
        private final Predicate<ReplicaEntry> included;
        private final long now;

        Accepting(List<ReplicaEntry> upstreams, Predicate<ReplicaEntry> included, long now) {
            this.upstreams = upstreams;
            this.itsTracks = tracks.ofService(upstreams);
            this.included = included;
            this.now = now;
        }

        @Override
        public int size() {
            return upstreams.size();
        }

        @Override
        public Optional<Candidate> candidate(int index) {
            ReplicaEntry upstream = upstreams.get(index);
            if (!included.test(upstream)) {
                return Optional.empty();
            }
            OptionalLong excludedUntil = notices.excludedUntil(upstream, now);
            if (excludedUntil.isPresent()) {
                itsTracks.get(index).excludeUntil(upstream, now, excludedUntil.getAsLong());
                return Optional.empty();
            }
            return limits.accepts(upstream, now)
                    ? Optional.of(itsTracks.get(index).look(upstream, now))
                    : Optional.empty();
        }

        @Override
        public boolean mayBeBelow(int index, int fault, double load, long unresponsiveNanos) {
            LoadBound bound = itsTracks.get(index).bound();
            return !bound.holds(upstreams.get(index), now)
                    || LeastLoadedPlacement.mayBeBelow(bound, now, fault, load, unresponsiveNanos);
        }

        @Override
        public ZoneParts parts(AvailabilityZone zone) {
            return tracks.parts(upstreams, zone);
        }
    }
}
