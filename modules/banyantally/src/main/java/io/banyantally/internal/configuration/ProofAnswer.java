package io.banyantally.internal.configuration;

/**
 * The revision of a peer's configuration and its proof from the platform.
 *
 * @param incarnation differs between two answers if the peer restarted
 * @param platformAgeNanos the age of the peer's proof from the platform in nanoseconds, or {@link #NO_PROOF}
 * @param voter whether the peer counts in a majority
 * @param hearsPlatform whether the peer has a recent proof from the platform
 * @param manifest the manifest if its revision is higher than the requester's, otherwise empty
 */
record ProofAnswer(
        long incarnation, long revision, long platformAgeNanos, boolean voter, boolean hearsPlatform, byte[] manifest) {

    static final long NO_PROOF = -1;
}
