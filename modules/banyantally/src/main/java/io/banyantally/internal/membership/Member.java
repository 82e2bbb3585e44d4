package io.banyantally.internal.membership;

import io.banyantally.internal.peer.Peer;
import java.net.InetSocketAddress;

/**
 * What a peer said of itself in its last heartbeat.
 *
 * @param callers where callers connect
 * @param draining whether callers must no longer be sent there
 * @param heardAt this VM's monotonic clock before the heartbeat was asked for
 */
record Member(Peer peer, InetSocketAddress callers, boolean draining, long heardAt) {}
