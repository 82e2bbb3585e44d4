package io.banyantally.model;

import java.security.SecureRandom;

/** Tells apart the lives of a VM's process: a random number drawn at every start. */
public record Incarnation(long value) implements Comparable<Incarnation> {

    private static final SecureRandom RANDOM = new SecureRandom();

    /** Draws a new incarnation; 64 random bits, so two processes never share one in practice. */
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
