package io.banyantally.internal.configuration;

/** A change certainly had no effect; it may be repeated. */
public final class ConfigurationNotWrittenException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what to do. */
    public ConfigurationNotWrittenException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public ConfigurationNotWrittenException(String message, Throwable cause) {
        super(message, cause);
    }
}
