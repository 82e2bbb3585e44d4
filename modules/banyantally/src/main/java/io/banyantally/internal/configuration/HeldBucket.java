package io.banyantally.internal.configuration;

/** A bucket with the bytes it was read from, which peers ask for. */
record HeldBucket(String hash, byte[] bytes, Bucket content) {

    /** Encodes a new bucket. */
    static HeldBucket of(Bucket content) throws ConfigurationNotWrittenException {
        byte[] bytes = StoredFormat.encode(content);
        if (bytes.length > Bucket.MAXIMUM_BYTES) {
            throw new ConfigurationNotWrittenException("a bucket would grow to " + bytes.length + " bytes; at most "
                    + Bucket.MAXIMUM_BYTES + " are allowed, so withdraw keys that are no longer used");
        }
        return new HeldBucket(Sha256.hex(bytes), bytes, content);
    }

    /**
     * Decodes a bucket that came from the platform or a peer.
     *
     * @throws ConfigurationDamagedException if the bytes don't have the hash
     */
    static HeldBucket verified(String hash, byte[] bytes) throws ConfigurationDamagedException {
        String found = Sha256.hex(bytes);
        if (!found.equals(hash)) {
            throw new ConfigurationDamagedException("bucket " + hash + " has bytes with hash " + found);
        }
        return new HeldBucket(hash, bytes, StoredFormat.bucket(bytes));
    }
}
