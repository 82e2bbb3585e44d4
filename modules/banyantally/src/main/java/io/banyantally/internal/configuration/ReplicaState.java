package io.banyantally.internal.configuration;

import java.util.Optional;

/**
 * A configuration with its proofs; immutable, so that a request sees both as of one moment.
 *
 * @param platformProof the latest instant at which the configuration was known to be the platform's
 * @param majorityProof the latest instant at which a majority had applied nothing higher
 * @param voter whether a proof as of an instant after the start of the process was held
 */
record ReplicaState(
        ConfigurationSnapshot snapshot, Optional<Long> platformProof, Optional<Long> majorityProof, boolean voter) {

    static final ReplicaState INITIAL =
            new ReplicaState(ConfigurationSnapshot.EMPTY, Optional.empty(), Optional.empty(), false);

    /** Returns the state with a higher revision; a proof of a lower one holds for it as well. */
    ReplicaState with(ConfigurationSnapshot newSnapshot) {
        return new ReplicaState(newSnapshot, platformProof, majorityProof, voter);
    }

    ReplicaState provenByPlatform(long instant, boolean afterStart) {
        return new ReplicaState(
                snapshot, Optional.of(later(platformProof, instant)), majorityProof, voter || afterStart);
    }

    ReplicaState provenByMajority(long instant) {
        return new ReplicaState(snapshot, platformProof, Optional.of(later(majorityProof, instant)), true);
    }

    private static long later(Optional<Long> present, long instant) {
        return present.filter(known -> known - instant > 0).orElse(instant);
    }
}
