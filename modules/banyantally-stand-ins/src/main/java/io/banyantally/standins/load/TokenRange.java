package io.banyantally.standins.load;

import java.util.SplittableRandom;

/** A range of lengths in tokens, both ends included. */
record TokenRange(int least, int most) {

    /** Draws a length, scaled and never below one token. */
    int draw(SplittableRandom random, double scale) {
        return (int) Math.max(1, Math.round(random.nextInt(least, most + 1) * scale));
    }
}
