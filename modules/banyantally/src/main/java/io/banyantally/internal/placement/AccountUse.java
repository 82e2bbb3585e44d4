package io.banyantally.internal.placement;

/**
 * How much of the rate limit of a client account VMs use, in units of the limit.
 *
 * @param windowUnits what was sent in the window of the rule
 * @param silentUnits the part of {@code windowUnits} by VMs that have fallen silent
 * @param secondUnits what was sent in the last second
 * @param askedUnits what callers have asked for lately
 */
public record AccountUse(String account, long windowUnits, long silentUnits, long secondUnits, long askedUnits) {}
