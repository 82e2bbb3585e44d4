package io.banyantally.platform;

import java.util.Optional;

/**
 * The answer to a watch.
 *
 * @param changed whether the key's revision differs from the one the watch named; false when the watch timed out
 * @param value the present value; empty when the key does not exist
 */
public record ChangeNotice(boolean changed, Optional<VersionedValue> value) {}
