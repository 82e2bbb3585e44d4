package io.banyantally.internal.wiring;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.settings.ZoneDistance;
import io.banyantally.model.AvailabilityZone;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * The availability zones of the site: those of the settings and of all peers seen so far. A zone is kept when all its
 * VMs have disconnected, since its usage flushes and upstreams still exist.
 */
@Singleton
final class KnownZones implements Supplier<Set<AvailabilityZone>> {

    private final PeerNetwork network;
    private final Set<AvailabilityZone> zones = ConcurrentHashMap.newKeySet();

    @Inject
    KnownZones(PeerNetwork network, EntrySettings settings) {
        this.network = network;
        zones.add(settings.zone());
        settings.distances().stream().map(ZoneDistance::zone).forEach(zones::add);
    }

    @Override
    public Set<AvailabilityZone> get() {
        network.peers().stream().map(Peer::zone).forEach(zones::add);
        return new HashSet<>(zones);
    }
}
