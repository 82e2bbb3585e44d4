package io.banyantally.internal.placement;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.AvailabilityZone;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/** The upstreams of a service by whether they are in the zone of this VM, as indexes in the list of all. */
final class ZoneParts {

    private final AvailabilityZone zone;
    private final int[] own;
    private final int[] others;

    private ZoneParts(AvailabilityZone zone, int[] own, int[] others) {
        this.zone = zone;
        this.own = own;
        this.others = others;
    }

    static ZoneParts of(List<ReplicaEntry> upstreams, AvailabilityZone zone) {
        return new ZoneParts(
                zone,
                indexes(upstreams, entry -> entry.zone().equals(zone)),
                indexes(upstreams, entry -> !entry.zone().equals(zone)));
    }

    private static int[] indexes(List<ReplicaEntry> upstreams, Predicate<ReplicaEntry> included) {
        return IntStream.range(0, upstreams.size())
                .filter(index -> included.test(upstreams.get(index)))
                .toArray();
    }

    AvailabilityZone zone() {
        return zone;
    }

    CandidateSource own(CandidateSource all) {
        return new Part(all, own);
    }

    CandidateSource others(CandidateSource all) {
        return new Part(all, others);
    }

    /** A part of the upstreams of a service; bounds of single upstreams hold in each part. */
    private record Part(CandidateSource all, int[] indexes) implements CandidateSource {

        @Override
        public int size() {
            return indexes.length;
        }

        @Override
        public Optional<Candidate> candidate(int index) {
            return all.candidate(indexes[index]);
        }

        @Override
        public boolean mayBeBelow(int index, int fault, double load, long unresponsiveNanos) {
            return all.mayBeBelow(indexes[index], fault, load, unresponsiveNanos);
        }

        @Override
        public ZoneParts parts(AvailabilityZone zone) {
            throw new UnsupportedOperationException("a part has no parts");
        }
    }
}
