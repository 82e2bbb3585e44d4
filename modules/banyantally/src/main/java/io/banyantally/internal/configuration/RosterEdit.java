package io.banyantally.internal.configuration;

/** Computes a new roster from the configuration at the platform; called again after each write conflict. */
@FunctionalInterface
interface RosterEdit {

    Roster apply(ConfigurationSnapshot base) throws ConfigurationNotWrittenException;
}
