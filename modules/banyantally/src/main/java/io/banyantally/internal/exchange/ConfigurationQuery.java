package io.banyantally.internal.exchange;

import java.util.Optional;

/**
 * Asks a peer for its configuration.
 *
 * @param known the version that the asker knows; the peer sends only a newer one
 */
record ConfigurationQuery(Optional<Long> known) {

    /** Returns whether a version is newer than the known one. */
    boolean isBefore(long version) {
        return known.isEmpty() || known.get() < version;
    }
}
