package io.banyantally.internal.configuration;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/**
 * Identifies the write of a manifest revision, so that a writer whose answer was lost recognises its own write.
 *
 * @param attempt the number of the write within one incarnation, from 1
 */
record WriteStamp(long revision, VmId writer, Incarnation incarnation, long attempt) {}
