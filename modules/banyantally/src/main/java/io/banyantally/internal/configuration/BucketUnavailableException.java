package io.banyantally.internal.configuration;

/** A bucket can't be read from the platform or a peer at present; a later attempt may succeed. */
final class BucketUnavailableException extends Exception {

    private static final long serialVersionUID = 1L;

    BucketUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
