package io.banyantally.internal.adapter;

import io.banyantally.model.FencingNumber;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.UsageReport;
import io.banyantally.platform.UsageReportSink;
import java.net.InetSocketAddress;

/** Client of the platform's usage reports over HTTP. */
public final class HttpUsageReportSink implements UsageReportSink {

    private final AdapterHttpClient client;
    private final InetSocketAddress address;

    /** Creates a client of the interface at {@code address}. */
    public HttpUsageReportSink(AdapterHttpClient client, InetSocketAddress address) {
        this.client = client;
        this.address = address;
    }

    @Override
    public void report(UsageReport report, FencingNumber fencingNumber) throws PlatformException {
        UsageReportRequest request = new UsageReportRequest(report, fencingNumber);
        PlatformCalls.write(
                client,
                HttpCall.write(address, UsageReportRequest.PATH, request, PlatformCalls.TIME_LIMIT),
                body -> report);
    }
}
