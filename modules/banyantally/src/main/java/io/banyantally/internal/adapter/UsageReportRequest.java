package io.banyantally.internal.adapter;

import io.banyantally.model.FencingNumber;
import io.banyantally.platform.UsageReport;

/** A usage report as it goes on the wire. */
public record UsageReportRequest(UsageReport report, FencingNumber fencingNumber) {

    /** Where reports go. */
    public static final String PATH = "/usage-reports";
}
