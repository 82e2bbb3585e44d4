package io.banyantally.internal.placement;

import io.banyantally.model.AvailabilityZone;
import java.util.Optional;

/** The known upstreams of a service, looked at one at a time. */
public interface CandidateSource {

    /** Returns how many upstreams there are, those included that may not get the request. */
    int size();

    /** Returns the upstream at an index from 0; empty if it may not get the request. */
    Optional<Candidate> candidate(int index);

    /**
     * Returns whether the upstream at an index may be worth a look, by what earlier looks have found: whether it may
     * have a lower fault, or the same fault and a lower load.
     *
     * @param unresponsiveNanos the wait from which an upstream is unresponsive
     */
    boolean mayBeBelow(int index, int fault, double load, long unresponsiveNanos);

    /** Returns the upstreams inside and outside of a zone. */
    ZoneParts parts(AvailabilityZone zone);
}
