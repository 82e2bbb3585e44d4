package io.banyantally.internal.configuration;

import java.util.Optional;

/**
 * A configuration with its proofs; immutable, so that a request uses a consistent view of both.
 *
 * @param platformProof the latest instant at which the configuration is known to have been current at the platform
 * @param majorityProof the latest instant at which a majority of the roster is known to have applied no higher revision
 * @param voter whether this VM counts in a majority: it has had a proof with an instant after the process start
 */
record ReplicaState(
        ConfigurationSnapshot snapshot, Optional<Long> platformProof, Optional<Long> majorityProof, boolean voter) {

    static final ReplicaState INITIAL =
            new ReplicaState(ConfigurationSnapshot.EMPTY, Optional.empty(), Optional.empty(), false);

    /** Returns the state with a higher revision; the proofs of the lower one remain valid for it. */
    ReplicaState withSnapshot(ConfigurationSnapshot newSnapshot) {
        return new ReplicaState(newSnapshot, platformProof, majorityProof, voter);
    }

    ReplicaState withPlatformProof(long instant, boolean afterStart) {
        return new ReplicaState(
                snapshot, Optional.of(later(platformProof, instant)), majorityProof, voter || afterStart);
    }

    ReplicaState withMajorityProof(long instant) {
        return new ReplicaState(snapshot, platformProof, Optional.of(later(majorityProof, instant)), true);
    }

    private static long later(Optional<Long> present, long instant) {
        return present.filter(presentInstant -> presentInstant - instant > 0).orElse(instant);
    }
}
