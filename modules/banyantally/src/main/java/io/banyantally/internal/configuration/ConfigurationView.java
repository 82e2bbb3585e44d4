package io.banyantally.internal.configuration;

/** Read access to the configuration in force on this VM; its revision never decreases. */
@FunctionalInterface
public interface ConfigurationView {

    /** Returns the configuration in force at this moment; {@link Configuration#EMPTY} before the first is loaded. */
    Configuration current();
}
