package io.banyantally.internal.peer;

/**
 * One message on a connection between two VMs.
 *
 * @param exchange ties an answer to its request on the same connection
 * @param topic the topic of a request; empty for other kinds
 */
record Frame(FrameKind kind, long exchange, String topic, byte[] payload) {}
