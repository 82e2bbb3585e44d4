package io.banyantally.internal.peer;

/**
 * One message on a connection between two VMs.
 *
 * @param requestId matches an answer to its request on the same connection
 * @param topic the topic of a request; empty for other kinds
 */
record Frame(FrameKind kind, long requestId, String topic, byte[] payload) {}
