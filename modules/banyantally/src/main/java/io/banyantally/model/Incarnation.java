package io.banyantally.model;

import java.security.SecureRandom;

/** Distinguishes the process starts of a VM: a random number, generated at each start. */
public record Incarnation(long value) implements Comparable<Incarnation> {

    private static final SecureRandom RANDOM = new SecureRandom();

    /** Generates an incarnation of 64 random bits; the probability that two processes share one is negligible. */
    public static Incarnation draw() {
        return new Incarnation(RANDOM.nextLong());
    }

    /** Parses the text form written by {@link #toString()}. */
    public static Incarnation parse(String text) {
        return new Incarnation(Long.parseUnsignedLong(text, 16));
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compareUnsigned(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
