package io.banyantally.internal.placement;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/** The tracks of all upstreams. An upstream that restarts with the same id, or at another address, gets a new track. */
public final class UpstreamTracks {

    /** The largest fraction of a service's upstreams that is ejected at once; more failures have another cause. */
    static final double MAXIMUM_EJECTED_FRACTION = 0.34;

    private static final EventLog LOG = EventLog.of(UpstreamTracks.class);

    private final MonotonicClock clock;
    private final Map<UpstreamId, UpstreamTrack> tracks = new ConcurrentHashMap<>();
    private final Map<ServiceName, ServiceTracks> tracksByService = new ConcurrentHashMap<>();
    private final Map<ServiceName, ServiceParts> partsByService = new ConcurrentHashMap<>();
    private final AtomicLong replacements = new AtomicLong();

    /** Creates an empty set of tracks. */
    public UpstreamTracks(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the track of an upstream, which is new if the entry belongs to a later lifetime of it. */
    public UpstreamTrack of(ReplicaEntry entry) {
        UpstreamTrack known = tracks.get(entry.id());
        // Locks a part of the map only for an upstream that is new.
        if (known != null && isSameLifetime(known.entry(), entry)) {
            return known;
        }
        UpstreamTrack present = tracks.compute(
                entry.id(),
                (id, track) ->
                        track != null && isSameLifetime(track.entry(), entry) ? track : new UpstreamTrack(entry));
        replacements.incrementAndGet();
        return present;
    }

    /**
     * Returns the tracks of all upstreams of one service, in the same order. They are looked up once for each list, which
     * must not change, and not once for each request.
     */
    @SuppressWarnings("ReferenceEquality") // To compare all entries takes longer than to look their tracks up.
    List<UpstreamTrack> ofService(List<ReplicaEntry> entries) {
        if (entries.isEmpty()) {
            return List.of();
        }
        ServiceName service = entries.getFirst().service();
        ServiceTracks known = tracksByService.get(service);
        long replacementsBefore = replacements.get();
        if (known != null && known.entries() == entries && known.replacements() == replacementsBefore) {
            return known.tracks();
        }
        List<UpstreamTrack> present = entries.stream().map(this::of).toList();
        tracksByService.put(service, new ServiceTracks(entries, present, replacementsBefore));
        return present;
    }

    /** Returns the upstreams of one service by zone, which are divided once for each list, as {@link #ofService}. */
    @SuppressWarnings("ReferenceEquality") // To compare all entries takes longer than to divide them.
    ZoneParts parts(List<ReplicaEntry> entries, AvailabilityZone zone) {
        if (entries.isEmpty()) {
            return ZoneParts.of(entries, zone);
        }
        ServiceName service = entries.getFirst().service();
        ServiceParts known = partsByService.get(service);
        if (known != null && known.entries() == entries && known.parts().zone().equals(zone)) {
            return known.parts();
        }
        ZoneParts parts = ZoneParts.of(entries, zone);
        partsByService.put(service, new ServiceParts(entries, parts));
        return parts;
    }

    /** Returns one placement candidate for each entry, in the same order. */
    public List<Candidate> candidates(List<ReplicaEntry> entries) {
        long now = clock.nanoTime();
        return entries.stream().map(entry -> of(entry).candidate(entry, now)).toList();
    }

    /** Returns the requests that this process and its peers have at an upstream, as far as known. */
    public int requestsAt(ReplicaEntry upstream) {
        return of(upstream).workWithPeers(vm -> true, clock.nanoTime()).requests();
    }

    /** Records a failure, and ejects the upstream if it failed too often and enough others remain. */
    public void failed(UpstreamTrack track, List<ReplicaEntry> service, String reason) {
        if (!track.recordFailure()) {
            return;
        }
        long unhealthyOthers = service.stream()
                .map(this::of)
                .filter(other -> other != track && !other.health().isHealthy())
                .count();
        boolean alreadyUnhealthy = !track.health().isHealthy();
        if (alreadyUnhealthy || unhealthyOthers + 1 <= Math.max(1, service.size() * MAXIMUM_EJECTED_FRACTION)) {
            track.eject(clock.nanoTime());
            LOG.warn(
                    "upstream_ejected",
                    EventField.of("upstream", track.entry().id()),
                    EventField.of("reason", reason),
                    EventField.of("ejected_others", unhealthyOthers));
        }
    }

    /** Records a success, and logs when it made the upstream healthy again. */
    public void succeeded(UpstreamTrack track) {
        if (track.recordSuccess()) {
            LOG.info("upstream_trusted", EventField.of("upstream", track.entry().id()));
        }
    }

    /** Returns the tracks of all upstreams, as a view: the exchange of work reads them hundreds of times a second. */
    public Collection<UpstreamTrack> all() {
        return Collections.unmodifiableCollection(tracks.values());
    }

    /**
     * Drops upstreams that are not in {@code known} and run no request; an entry may lapse and return while they run
     * one.
     */
    public void retain(List<ReplicaEntry> known) {
        Set<UpstreamId> ids = known.stream().map(ReplicaEntry::id).collect(Collectors.toSet());
        boolean removed = tracks.values()
                .removeIf(track ->
                        !ids.contains(track.entry().id()) && track.ownWork().requests() == 0);
        if (removed) {
            replacements.incrementAndGet();
            tracksByService.clear();
        }
    }

    private static boolean isSameLifetime(ReplicaEntry former, ReplicaEntry present) {
        return former.address().equals(present.address())
                && former.startedAtMillis().equals(present.startedAtMillis());
    }

    private record ServiceParts(List<ReplicaEntry> entries, ZoneParts parts) {}

    /**
     * The tracks of a service's upstreams.
     *
     * @param replacements the replacements of tracks before these were looked up
     */
    private record ServiceTracks(List<ReplicaEntry> entries, List<UpstreamTrack> tracks, long replacements) {}
}
