package io.banyantally.internal.fleet;

/**
 * The throughput of one engine in each role within the latency targets, in tokens per second.
 *
 * @param prefillAlone prompt tokens in the role prefill
 * @param decodeAlone output tokens in the role decode
 * @param mixedPrefill prompt tokens in the role mixed while it does not decode
 * @param mixedDecode output tokens in the role mixed while it does not prefill
 */
public record EngineRates(double prefillAlone, double decodeAlone, double mixedPrefill, double mixedDecode) {}
