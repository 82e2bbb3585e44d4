package io.banyantally.internal.fleet;

/**
 * What one engine does in a role with the targets kept, in tokens a second.
 *
 * @param prefillAlone prompt tokens in the role prefill
 * @param decodeAlone output tokens in the role decode
 * @param mixedPrefill prompt tokens in the role mixed while it decodes nothing
 * @param mixedDecode output tokens in the role mixed while it computes no prompt
 */
public record EngineRates(double prefillAlone, double decodeAlone, double mixedPrefill, double mixedDecode) {}
