package io.banyantally.internal.membership;

import io.banyantally.internal.peer.Peer;
import java.net.InetSocketAddress;

/**
 * State of a peer according to its last heartbeat.
 *
 * @param callers the address for callers
 * @param draining whether callers must no longer be directed to it
 * @param lastHeartbeatNanos this VM's monotonic clock before the heartbeat was requested
 */
record Member(Peer peer, InetSocketAddress callers, boolean draining, long lastHeartbeatNanos) {}
