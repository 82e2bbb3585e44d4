package io.banyantally.internal.exchange;

import java.util.List;

/** The work that one VM has at upstreams; upstreams without work are left out. */
record WorkMessage(List<UpstreamWork> work) {

    WorkMessage {
        work = List.copyOf(work);
    }

    /**
     * The work at one upstream.
     *
     * @param requests the number of requests there
     * @param millis the time that the requests keep the upstream busy, in milliseconds
     */
    record UpstreamWork(String upstream, int requests, double millis) {}
}
