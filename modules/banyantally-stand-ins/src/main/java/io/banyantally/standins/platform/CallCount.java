package io.banyantally.standins.platform;

/**
 * The number of calls of a kind.
 *
 * @param kind method and path
 */
public record CallCount(String kind, long calls) {}
