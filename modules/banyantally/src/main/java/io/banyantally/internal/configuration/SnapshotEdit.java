package io.banyantally.internal.configuration;

/** Computes an update from the configuration at the platform; called again after each write conflict. */
@FunctionalInterface
interface SnapshotEdit {

    SnapshotUpdate apply(ConfigurationSnapshot base)
            throws ConfigurationConflictException, ConfigurationNotWrittenException;
}
