package io.banyantally.platform;

import io.banyantally.model.FencingNumber;

/** The platform's interface that takes usage reports, once for each client account and window. */
@FunctionalInterface
public interface UsageReportSink {

    /**
     * Reports a window. A repeat must carry the same figures.
     *
     * @throws InterfaceOutcomeUnknownException if the report may have been taken
     */
    void report(UsageReport report, FencingNumber fencingNumber) throws PlatformException;
}
