package io.banyantally.internal.configuration;

import io.banyantally.platform.StoreRevision;

/**
 * The manifest as read from the platform.
 *
 * @param storeRevision the revision that a compare-and-swap must expect; {@link StoreRevision#ABSENT} before the first
 *     write
 */
record StoredManifest(byte[] bytes, Manifest manifest, StoreRevision storeRevision) {

    static final StoredManifest ABSENT = new StoredManifest(new byte[0], Manifest.EMPTY, StoreRevision.ABSENT);
}
