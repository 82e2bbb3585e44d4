package io.banyantally.internal.operator;

import io.banyantally.internal.configuration.ConfigurationConflictException;
import io.banyantally.internal.configuration.ConfigurationNotWrittenException;
import io.banyantally.internal.configuration.ConfigurationOutcomeUnknownException;

/** Handles the requests to one collection, such as {@code services}. */
@FunctionalInterface
interface OperatorResource {

    OperatorResponse handle(OperatorRequest request)
            throws OperatorRefusalException, InvalidDocumentException, ConfigurationConflictException,
                    ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException;
}
