package io.banyantally.standins.platform;

import io.banyantally.platform.UsageReport;

/**
 * A usage report as it came.
 *
 * @param accepted whether it was taken, as the first or as a repeat with the same figures
 */
public record LoggedUsage(UsageReport report, long fencingNumber, boolean accepted, boolean repeated) {}
