package io.banyantally.standins.platform;

import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.OrderedUpstream;
import java.util.List;

/** Calls, orders, reports and violations at the platform stand-in, as returned by {@code GET /control/report}. */
public record PlatformReport(
        List<CallCount> calls,
        List<LoggedOrder> orders,
        List<OrderedUpstream> upstreams,
        List<LoggedUsage> usage,
        List<DirectoryEntry> directory,
        List<Violation> violations) {}
