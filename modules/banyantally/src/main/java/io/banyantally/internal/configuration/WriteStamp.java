package io.banyantally.internal.configuration;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/**
 * Says who wrote a revision of the manifest, so that a writer whose answer was lost recognises its own write.
 *
 * @param attempt counts the writes of one incarnation
 */
record WriteStamp(long revision, VmId writer, Incarnation incarnation, long attempt) {}
