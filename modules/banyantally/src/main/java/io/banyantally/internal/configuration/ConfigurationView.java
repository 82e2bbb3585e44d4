package io.banyantally.internal.configuration;

/** Gives the configuration in force on this VM; its revision never goes down. */
@FunctionalInterface
public interface ConfigurationView {

    /** Returns the configuration in force now. */
    Configuration current();
}
