package io.banyantally.internal.settings;

/**
 * Inputs of the fleet's planning. Rates are tokens per second of one engine that meets its latency targets.
 *
 * @param enabled whether to change roles and order upstreams; if false, the fleet is left unchanged
 * @param regularPricePerHour price of a regular upstream, in the platform's currency
 * @param cheapPricePerHour price of a cheap upstream
 * @param startSeconds time from ordering an upstream until it serves requests
 * @param roleChangeSeconds how long an engine is unavailable during a role change, including its drain
 * @param reclaimLossSeconds engine seconds lost when the platform reclaims a cheap upstream
 */
public record FleetControlSettings(
        boolean enabled,
        double regularPricePerHour,
        double cheapPricePerHour,
        int startSeconds,
        int roleChangeSeconds,
        double reclaimLossSeconds,
        double prefillRate,
        double decodeRate,
        double mixedPrefillRate,
        double mixedDecodeRate) {

    private static final double MAXIMUM_PRICE = 1e6;
    private static final double MAXIMUM_RATE = 1e9;
    private static final int MAXIMUM_SECONDS = 3_600;

    /** Reads the settings, all of which have defaults; problems are collected by {@code fields}. */
    static FleetControlSettings read(JsonFields fields) {
        FleetControlSettings settings = new FleetControlSettings(
                fields.flag("enabled", true),
                fields.number("regularPricePerHour", 0, MAXIMUM_PRICE, 4),
                fields.number("cheapPricePerHour", 0, MAXIMUM_PRICE, 1.2),
                fields.integer("startSeconds", 1, MAXIMUM_SECONDS, 60),
                fields.integer("roleChangeSeconds", 1, MAXIMUM_SECONDS, 9),
                fields.number("reclaimLossSeconds", 0, MAXIMUM_SECONDS, 20),
                fields.number("prefillRate", 1, MAXIMUM_RATE, 20_000),
                fields.number("decodeRate", 1, MAXIMUM_RATE, 2_300),
                fields.number("mixedPrefillRate", 1, MAXIMUM_RATE, 16_000),
                fields.number("mixedDecodeRate", 1, MAXIMUM_RATE, 2_100));
        fields.finish();
        return settings;
    }
}
