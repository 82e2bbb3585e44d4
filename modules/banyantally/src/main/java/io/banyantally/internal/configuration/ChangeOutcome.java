package io.banyantally.internal.configuration;

import io.banyantally.model.Revision;

/**
 * The outcome of a change that was written.
 *
 * @param confirmed whether a majority of the roster has applied the change; only then is it accepted. An unconfirmed
 *     change stays in the configuration, and repeating it requests the confirmation again
 */
public record ChangeOutcome(Revision revision, boolean confirmed) {}
