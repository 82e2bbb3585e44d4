package io.banyantally.internal.configuration;

import java.util.Optional;

/**
 * Both sides of a race on one entry.
 *
 * @param path such as {@code account/port-north}
 * @param requested what the refused write wanted; empty for a removal
 * @param present what is in force; empty when the entry was removed
 */
public record ConflictingEntry(String path, Optional<Object> requested, Optional<Object> present) {}
