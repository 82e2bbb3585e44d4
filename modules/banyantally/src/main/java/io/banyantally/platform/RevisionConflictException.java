package io.banyantally.platform;

/** Another write came first; nothing was written. */
public final class RevisionConflictException extends StoreException {

    private static final long serialVersionUID = 1L;

    private final long currentRevision;

    /** Creates the failure for a key whose revision is {@code current}. */
    public RevisionConflictException(StoreKey key, StoreRevision expected, StoreRevision current) {
        super("key " + key + " has revision " + current + ", not " + expected + "; read it again before writing");
        this.currentRevision = current.value();
    }

    /** Returns the revision that the key has. */
    public StoreRevision currentRevision() {
        return new StoreRevision(currentRevision);
    }
}
