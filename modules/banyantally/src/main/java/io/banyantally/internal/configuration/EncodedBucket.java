package io.banyantally.internal.configuration;

/** A bucket with its hash and its stored bytes, which are sent to peers on request. */
record EncodedBucket(String hash, byte[] bytes, Bucket content) {

    /** Encodes a new bucket of up to {@link Bucket#MAXIMUM_BYTES}. */
    static EncodedBucket of(Bucket content) throws ConfigurationNotWrittenException {
        byte[] bytes = StoredFormat.encode(content);
        if (bytes.length > Bucket.MAXIMUM_BYTES) {
            throw new ConfigurationNotWrittenException("a bucket would grow to " + bytes.length + " bytes; at most "
                    + Bucket.MAXIMUM_BYTES + " are allowed, so withdraw keys that are no longer used");
        }
        return new EncodedBucket(Sha256.hex(bytes), bytes, content);
    }

    /**
     * Decodes a bucket received from the platform or a peer.
     *
     * @throws ConfigurationDamagedException if the hash of the bytes differs, or they can't be decoded
     */
    static EncodedBucket verified(String hash, byte[] bytes) throws ConfigurationDamagedException {
        String found = Sha256.hex(bytes);
        if (!found.equals(hash)) {
            throw new ConfigurationDamagedException("bucket " + hash + " has bytes with hash " + found);
        }
        return new EncodedBucket(hash, bytes, StoredFormat.bucket(bytes));
    }
}
