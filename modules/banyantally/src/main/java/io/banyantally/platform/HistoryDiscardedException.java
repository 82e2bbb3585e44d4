package io.banyantally.platform;

/** The key-value service has discarded changes since the revision of a watch; list the items again. */
public final class HistoryDiscardedException extends StoreException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the prefix and the revision. */
    public HistoryDiscardedException(String message) {
        super(message);
    }
}
