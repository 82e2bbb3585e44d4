package io.banyantally.internal.usage;

/**
 * One page of the counters that a VM holds.
 *
 * @param counters as encoded by {@link CounterCodec}
 * @param nextOrigin index of the first origin of the next page, or {@link #COMPLETE}
 * @param lastWindow the window of the previous query for this bucket; 0 if there was none
 */
record GatherAnswer(byte[] counters, int nextOrigin, long lastWindow) {
    static final int COMPLETE = -1;
}
