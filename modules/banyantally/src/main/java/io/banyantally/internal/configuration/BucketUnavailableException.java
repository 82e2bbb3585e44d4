package io.banyantally.internal.configuration;

/** A bucket can't be had at present. */
final class BucketUnavailableException extends Exception {

    private static final long serialVersionUID = 1L;

    BucketUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
