package io.banyantally.internal.usage;

import java.util.Set;

/**
 * The counters that were found when a window is sealed, merged by maximum.
 *
 * @param answered the processes that answered for their own work
 * @param outOfTouch the origins known only from processes that were not asked for so long that their counters may have
 *     been billed and forgotten
 */
record Gathered(CounterTable counters, Set<CounterOrigin> answered, Set<CounterOrigin> outOfTouch) {}
