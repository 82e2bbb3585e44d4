package io.banyantally.platform;

/** The key does not have the expected revision because of another write; nothing was written. */
public final class RevisionConflictException extends StoreException {

    private static final long serialVersionUID = 1L;

    private final long currentEra;
    private final long currentRevision;

    /** Creates the exception for a key whose revision is {@code current}. */
    public RevisionConflictException(StoreKey key, StoreRevision expected, StoreRevision current) {
        super("key " + key + " has revision " + current + ", not " + expected + "; read it again before writing");
        this.currentEra = current.era().value();
        this.currentRevision = current.value();
    }

    /** Returns the key's current revision. */
    public StoreRevision currentRevision() {
        return new StoreRevision(new StoreEra(currentEra), currentRevision);
    }
}
