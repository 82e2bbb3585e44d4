package io.banyantally.platform;

import java.util.Arrays;

/** A stored value and the revision of its last write. The bytes are copied on construction and on access. */
public record VersionedValue(byte[] value, StoreRevision revision) {

    /** Copies the bytes, so that later changes by the caller have no effect. */
    public VersionedValue {
        value = value.clone();
    }

    @Override
    public byte[] value() {
        return value.clone();
    }

    /** Returns the size of the value in bytes. */
    public int size() {
        return value.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VersionedValue that
                && Arrays.equals(value, that.value)
                && revision.equals(that.revision);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(value) + revision.hashCode();
    }
}
