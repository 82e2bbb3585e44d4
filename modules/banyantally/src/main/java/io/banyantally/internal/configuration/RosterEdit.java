package io.banyantally.internal.configuration;

/** Works out a new roster from the configuration at the platform; called again after each lost race. */
@FunctionalInterface
interface RosterEdit {

    Roster apply(ConfigurationSnapshot base) throws ConfigurationNotWrittenException;
}
