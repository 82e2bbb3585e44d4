package io.banyantally.internal.configuration;

/** A stored manifest or bucket is missing or can't be read. The configuration in force stays as it is. */
public final class ConfigurationDamagedException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that names the value. */
    public ConfigurationDamagedException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public ConfigurationDamagedException(String message, Throwable cause) {
        super(message, cause);
    }
}
