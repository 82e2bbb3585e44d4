package io.banyantally.standins.platform;

import io.banyantally.platform.UsageReport;

/**
 * A logged usage report.
 *
 * @param accepted whether it was accepted, as the first for its window or as a repeat with the same figures
 */
public record LoggedUsage(UsageReport report, long fencingNumber, boolean accepted, boolean repeated) {}
