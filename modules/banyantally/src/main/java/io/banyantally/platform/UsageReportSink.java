package io.banyantally.platform;

import io.banyantally.model.FencingNumber;

/** The platform interface that receives usage reports, one for each client account and window. */
@FunctionalInterface
public interface UsageReportSink {

    /**
     * Reports the usage of a window. A retry must report the same figures.
     *
     * @throws InterfaceOutcomeUnknownException if the report may have been accepted
     */
    void report(UsageReport report, FencingNumber fencingNumber) throws PlatformException;
}
