package io.banyantally.internal.configuration;

import java.security.SecureRandom;
import java.util.Random;

/** Generates the same keys in every run, so that they are assigned to the same buckets. */
final class SeededSecureRandom extends SecureRandom {

    private static final long serialVersionUID = 1L;

    private final Random seeded;

    SeededSecureRandom(long seed) {
        seeded = new Random(seed);
    }

    @Override
    public void nextBytes(byte[] bytes) {
        seeded.nextBytes(bytes);
    }
}
