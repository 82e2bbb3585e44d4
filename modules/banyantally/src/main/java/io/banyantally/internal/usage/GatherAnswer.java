package io.banyantally.internal.usage;

/**
 * Counters that a VM holds.
 *
 * @param counters as encoded by {@link CounterCodec}
 * @param nextOrigin where to go on, or {@link #COMPLETE}
 * @param lastWindow the window of the previous question for this bucket; 0 if there was none
 */
record GatherAnswer(byte[] counters, int nextOrigin, long lastWindow) {
    static final int COMPLETE = -1;
}
