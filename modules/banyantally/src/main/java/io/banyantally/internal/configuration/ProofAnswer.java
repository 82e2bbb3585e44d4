package io.banyantally.internal.configuration;

/**
 * A peer's revision and proof.
 *
 * @param incarnation tells whether the peer restarted between two answers
 * @param platformAgeNanos the age of the peer's proof from the platform, or {@link #NO_PROOF}
 * @param voter whether the peer counts in a majority
 * @param hearsPlatform whether the peer heard the platform recently
 * @param manifest the manifest if its revision is higher than the asker's, otherwise empty
 */
record ProofAnswer(
        long incarnation, long revision, long platformAgeNanos, boolean voter, boolean hearsPlatform, byte[] manifest) {

    static final long NO_PROOF = -1;
}
