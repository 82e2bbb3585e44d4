package io.banyantally.internal.configuration;

import io.banyantally.model.Revision;

/**
 * What became of a change that was written.
 *
 * @param confirmed whether a majority of the roster has applied it; only then is it accepted. A change that was written
 *     and not confirmed stays in the configuration and may be confirmed by repeating it
 */
public record ChangeOutcome(Revision revision, boolean confirmed) {}
