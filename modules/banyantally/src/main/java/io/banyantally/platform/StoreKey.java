package io.banyantally.platform;

/** A key of the key-value service: segments separated by slashes, such as {@code scope/asistente/quito-n}. */
public record StoreKey(String path) implements Comparable<StoreKey> {

    /** In characters. */
    public static final int MAXIMUM_LENGTH = 512;

    /** Rejects empty and overlong paths. */
    public StoreKey {
        if (path == null || path.isEmpty() || path.length() > MAXIMUM_LENGTH) {
            throw new IllegalArgumentException(
                    "store key '" + path + "' is not valid; use 1 to " + MAXIMUM_LENGTH + " characters");
        }
    }

    @Override
    public int compareTo(StoreKey other) {
        return path.compareTo(other.path);
    }

    @Override
    public String toString() {
        return path;
    }
}
