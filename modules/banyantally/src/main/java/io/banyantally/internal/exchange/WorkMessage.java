package io.banyantally.internal.exchange;

import io.banyantally.internal.placement.AccountUse;
import io.banyantally.internal.placement.LimitUse;
import io.banyantally.internal.placement.Pace;
import io.banyantally.internal.placement.RateReport;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The work that VMs have at upstreams; upstreams without work are left out.
 *
 * @param limits the use of upstreams that have named a limit
 * @param vms the number of VMs whose work and use are added
 * @param configuration the version of the configuration that the sender has in force; absent if it has none
 * @param reportedWindow the newest usage window that the sender knows to be reported; absent if it knows none
 * @param rates what the VMs have measured of engines
 * @param accounts the use of the rate limits of client accounts
 */
record WorkMessage(
        List<UpstreamWork> work,
        List<LimitUse> limits,
        int vms,
        Optional<Long> configuration,
        Optional<Long> reportedWindow,
        RateReport rates,
        List<AccountUse> accounts) {

    WorkMessage {
        work = List.copyOf(work);
        // Absent in messages of an earlier version.
        limits = limits == null ? List.of() : List.copyOf(limits);
        configuration = configuration == null ? Optional.empty() : configuration;
        reportedWindow = reportedWindow == null ? Optional.empty() : reportedWindow;
        rates = rates == null ? RateReport.NONE : rates;
        accounts = accounts == null ? List.of() : List.copyOf(accounts);
    }

    /**
     * The work at one upstream.
     *
     * @param requests the number of requests there
     * @param millis the time that the requests keep the upstream busy, in milliseconds
     * @param refusingMillis how much longer the upstream is avoided because it has refused requests; 0 if it is not
     * @param workTimePercent the time that work takes there in percent of the usual time; 0 if not reported lately
     * @param workTimeAgeMillis how long ago the upstream reported that
     */
    record UpstreamWork(
            String upstream,
            int requests,
            double millis,
            long refusingMillis,
            int workTimePercent,
            long workTimeAgeMillis) {

        /** Returns the time that work takes at the upstream, on the clock of this process. */
        Optional<Pace.Report> workTime(long now) {
            return workTimePercent <= 0
                    ? Optional.empty()
                    : Optional.of(new Pace.Report(
                            workTimePercent, now - TimeUnit.MILLISECONDS.toNanos(Math.max(0, workTimeAgeMillis))));
        }
    }
}
