package io.banyantally.internal.exchange;

import java.util.List;

/**
 * The work that VMs have at upstreams; upstreams without work are left out.
 *
 * @param rates what the sender has learned about services; empty from a sender of an earlier version
 */
record WorkMessage(List<UpstreamWork> work, List<PrefillRate> rates) {

    WorkMessage {
        work = List.copyOf(work);
        rates = rates == null ? List.of() : List.copyOf(rates);
    }

    /**
     * The work at one upstream.
     *
     * @param requests the number of requests there
     * @param millis the time that the requests keep the upstream busy, in milliseconds
     */
    record UpstreamWork(String upstream, int requests, double millis) {}

    /**
     * How fast the engines of a service prefill.
     *
     * @param millisPerToken the time for one token of a prompt, in milliseconds
     */
    record PrefillRate(String service, double millisPerToken) {}
}
