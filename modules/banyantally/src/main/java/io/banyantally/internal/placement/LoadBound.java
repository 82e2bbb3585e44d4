package io.banyantally.internal.placement;

/**
 * A lower bound of the load of an upstream and of its faults, from the last look at it. It holds until a time, as work of
 * peers, reported loads and ejections end by age, and until a change of the upstream's track that may lower it.
 *
 * @param seenEntry the entry that was looked at, which is compared by identity: a later one may have other slots
 * @param fault the faults that last until then, as {@link LeastLoadedPlacement} weighs them
 * @param load the requests at the upstream for each of its slots
 * @param waitsUntil the time of the look and the observed wait, which falls by a millisecond in each at most
 * @param until the time until which the bound holds
 */
record LoadBound(Object seenEntry, int fault, double load, long waitsUntil, long until) {

    /** A bound of no entry. */
    static final LoadBound NONE = new LoadBound(new Object(), 0, 0, 0, 0);

    /** The fault of an upstream that may not be chosen. */
    static final int EXCLUDED = Integer.MAX_VALUE;

    /** As good as never from now, and near enough for differences of times. */
    static final long NEVER_NANOS = Long.MAX_VALUE / 2;

    /** Returns whether the bound holds for an entry at {@code now}. */
    boolean holds(Object newest, long now) {
        return seenEntry == newest && now - until < 0;
    }

    /** Returns whether requests wait at the upstream for longer than {@code nanos} at {@code now}. */
    boolean waitsLonger(long nanos, long now) {
        return waitsUntil - now > nanos;
    }
}
