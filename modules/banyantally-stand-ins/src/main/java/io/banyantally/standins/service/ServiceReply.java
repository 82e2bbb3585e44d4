package io.banyantally.standins.service;

/** The body of an answer of the service stand-in. */
public record ServiceReply(String orderId, long execution) {}
