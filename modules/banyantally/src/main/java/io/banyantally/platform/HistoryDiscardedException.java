package io.banyantally.platform;

/**
 * The changes since the revision of a watch can't be had: the key-value service has discarded some, or their answer is too
 * large or malformed. List the items again.
 */
public final class HistoryDiscardedException extends StoreException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the prefix and the revision. */
    public HistoryDiscardedException(String message) {
        super(message);
    }
}
