package io.banyantally.platform;

/** The key-value service no longer knows the changes since the revision that a watch names; list the items again. */
public final class HistoryDiscardedException extends StoreException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that names the prefix and the revision. */
    public HistoryDiscardedException(String message) {
        super(message);
    }
}
