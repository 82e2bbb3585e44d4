package io.banyantally.internal.configuration;

import io.banyantally.platform.StoreRevision;

/**
 * The manifest as read from the platform.
 *
 * @param storeRevision what a compare-and-swap must name; absent before the first write
 */
record StoredManifest(byte[] bytes, Manifest manifest, StoreRevision storeRevision) {

    static final StoredManifest ABSENT = new StoredManifest(new byte[0], Manifest.EMPTY, StoreRevision.ABSENT);
}
