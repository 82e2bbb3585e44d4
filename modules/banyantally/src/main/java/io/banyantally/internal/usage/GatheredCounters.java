package io.banyantally.internal.usage;

import java.util.Set;

/**
 * The counters that were found when a window is sealed, merged by maximum.
 *
 * @param answered the processes that answered for their own work
 * @param staleOrigins the origins known only from processes that were not queried for so long that their counters may
 *     have been billed and their tombstones removed
 */
record GatheredCounters(CounterTable counters, Set<CounterOrigin> answered, Set<CounterOrigin> staleOrigins) {}
