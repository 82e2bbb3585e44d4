package io.banyantally.internal.configuration;

/** A change was not written and had no effect; it can be repeated safely. */
public final class ConfigurationNotWrittenException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that says how to resolve the problem. */
    public ConfigurationNotWrittenException(String message) {
        super(message);
    }

    /** Creates the exception with the error that prevented the write. */
    public ConfigurationNotWrittenException(String message, Throwable cause) {
        super(message, cause);
    }
}
