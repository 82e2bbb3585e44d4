package io.banyantally.internal.operator;

import io.banyantally.internal.configuration.ConfigurationConflictException;
import io.banyantally.internal.configuration.ConfigurationNotWrittenException;
import io.banyantally.internal.configuration.ConfigurationOutcomeUnknownException;

/** Answers the requests of one collection, such as {@code services}. */
@FunctionalInterface
interface OperatorResource {

    OperatorAnswer answer(OperatorRequest request)
            throws OperatorRefusalException, InvalidDocumentException, ConfigurationConflictException,
                    ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException;
}
