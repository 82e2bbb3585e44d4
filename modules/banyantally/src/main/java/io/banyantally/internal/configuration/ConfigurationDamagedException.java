package io.banyantally.internal.configuration;

/** A stored manifest or bucket is missing or can't be decoded. The configuration in force is kept. */
public final class ConfigurationDamagedException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the value concerned. */
    public ConfigurationDamagedException(String message) {
        super(message);
    }

    /** Creates the exception with the error that reading or decoding raised. */
    public ConfigurationDamagedException(String message, Throwable cause) {
        super(message, cause);
    }
}
