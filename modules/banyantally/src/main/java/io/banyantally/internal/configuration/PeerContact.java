package io.banyantally.internal.configuration;

import io.banyantally.model.Incarnation;
import io.banyantally.model.Revision;

/**
 * What a peer answered last.
 *
 * @param askedAt this VM's clock before the question was sent
 * @param voter whether the peer counts in a majority
 * @param hearsPlatform whether the peer heard the platform recently
 */
record PeerContact(Incarnation incarnation, long askedAt, Revision revision, boolean voter, boolean hearsPlatform) {}
