package io.banyantally.internal.adapter;

import io.banyantally.model.FencingNumber;
import io.banyantally.platform.UsageReport;

/** The JSON request that reports usage. */
public record UsageReportRequest(UsageReport report, FencingNumber fencingNumber) {

    /** The request path. */
    public static final String PATH = "/usage-reports";
}
