package io.banyantally.internal.configuration;

/** Works out what to write from the configuration at the platform; called again after each lost race. */
@FunctionalInterface
interface SnapshotEdit {

    Draft apply(ConfigurationSnapshot base) throws ConfigurationConflictException, ConfigurationNotWrittenException;
}
