package io.banyantally.standins.load;

import java.util.SplittableRandom;

/** A range of lengths in tokens, both ends included. */
record TokenRange(int minimum, int maximum) {

    /** Draws a length, scaled and never below one token. */
    int draw(SplittableRandom random, double scale) {
        return (int) Math.max(1, Math.round(random.nextInt(minimum, maximum + 1) * scale));
    }
}
