package io.banyantally.internal.configuration;

import java.util.Optional;

/**
 * An entry on which a write conflicts with a later change.
 *
 * @param path kind and name of the entry, such as {@code account/port-north}
 * @param requested the value of the rejected write; empty for a removal
 * @param present the current value; empty if the entry was removed
 */
public record ConflictingEntry(String path, Optional<Object> requested, Optional<Object> present) {}
