package io.banyantally.standins.platform;

/**
 * How often a kind of call came.
 *
 * @param kind method and path
 */
public record CallCount(String kind, long calls) {}
