package io.banyantally.internal.placement;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.UpstreamId;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** The tracks of all upstreams. An upstream that restarts under its id, or at another address, begins a new track. */
public final class UpstreamTracks {

    /** At most this part of a service's upstreams is ejected at once, since more failures have another cause. */
    static final double LARGEST_EJECTED_PART = 0.34;

    private static final EventLog LOG = EventLog.of(UpstreamTracks.class);

    private final MonotonicClock clock;
    private final Map<UpstreamId, UpstreamTrack> tracks = new ConcurrentHashMap<>();

    /** Creates an empty set. */
    public UpstreamTracks(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the track of an upstream's present lifetime. */
    public UpstreamTrack of(ReplicaEntry entry) {
        return tracks.compute(
                entry.id(),
                (id, track) ->
                        track != null && isSameLifetime(track.entry(), entry) ? track : new UpstreamTrack(entry));
    }

    /** Returns the candidates among upstreams. */
    public List<Candidate> candidates(List<ReplicaEntry> entries) {
        long now = clock.nanoTime();
        return entries.stream()
                .map(entry -> of(entry).candidate(now).withEntry(entry))
                .toList();
    }

    /** Notes a failure, and ejects the upstream if it failed too often and enough others remain. */
    public void failed(UpstreamTrack track, List<ReplicaEntry> service, String reason) {
        if (!track.failed()) {
            return;
        }
        long out = service.stream()
                .map(this::of)
                .filter(other -> other != track && !other.health().isHealthy())
                .count();
        boolean alreadyOut = !track.health().isHealthy();
        if (alreadyOut || out + 1 <= Math.max(1, service.size() * LARGEST_EJECTED_PART)) {
            track.ejected(clock.nanoTime());
            LOG.warn(
                    "upstream_ejected",
                    EventField.of("upstream", track.entry().id()),
                    EventField.of("reason", reason),
                    EventField.of("ejected_others", out));
        }
    }

    /** Notes a success. */
    public void succeeded(UpstreamTrack track) {
        if (track.succeeded()) {
            LOG.info("upstream_trusted", EventField.of("upstream", track.entry().id()));
        }
    }

    /** Returns the tracks of all upstreams. */
    public Collection<UpstreamTrack> all() {
        return List.copyOf(tracks.values());
    }

    /** Forgets upstreams that are no longer known and run no request; an entry may lapse and return while they run one. */
    public void retain(List<ReplicaEntry> known) {
        Set<UpstreamId> ids = known.stream().map(ReplicaEntry::id).collect(Collectors.toSet());
        tracks.values()
                .removeIf(track ->
                        !ids.contains(track.entry().id()) && track.ownWork().requests() == 0);
    }

    private static boolean isSameLifetime(ReplicaEntry former, ReplicaEntry present) {
        return former.address().equals(present.address())
                && former.startedAtMillis().equals(present.startedAtMillis());
    }
}
