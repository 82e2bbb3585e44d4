package io.banyantally.internal.configuration;

/** A change may have taken effect; read the configuration before repeating it. */
public final class ConfigurationOutcomeUnknownException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with the last error of the write, if any. */
    public ConfigurationOutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
