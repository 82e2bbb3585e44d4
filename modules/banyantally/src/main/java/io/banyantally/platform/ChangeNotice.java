package io.banyantally.platform;

import java.util.Optional;

/**
 * The result of a watch on one key.
 *
 * @param changed whether the key's revision differs from the revision given to the watch; false on a timeout
 * @param value the current value; empty when the key does not exist
 */
public record ChangeNotice(boolean changed, Optional<VersionedValue> value) {}
