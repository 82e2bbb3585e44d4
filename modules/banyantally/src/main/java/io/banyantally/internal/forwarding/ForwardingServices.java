package io.banyantally.internal.forwarding;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.RequestDialect;
import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.crash.CrashLedger;
import io.banyantally.internal.crash.CrashReporter;
import io.banyantally.internal.deployment.ConfigurationHolder;
import io.banyantally.internal.deployment.ReplicaRegistry;
import io.banyantally.internal.duty.UsageLedger;
import io.banyantally.internal.placement.AccountLimits;
import io.banyantally.internal.placement.EnginePlacement;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.placement.RetryAllowance;
import io.banyantally.internal.placement.UpstreamLimits;
import io.banyantally.internal.placement.UpstreamNotices;
import io.banyantally.internal.placement.UpstreamTrack;
import io.banyantally.internal.placement.UpstreamTracks;
import io.banyantally.internal.streams.StreamVersions;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.ServiceName;

/**
 * Components of the gateway that request forwarding depends on.
 *
 * @param notices knows which upstreams leave or want no request for some time
 * @param limits knows how many requests a second upstreams take
 * @param accountLimits keeps the rate limits of client accounts
 * @param engines chooses among engines
 * @param plain chooses among upstreams of plain services
 * @param crashes knows the prompts that crash upstreams
 * @param streamVersions knows at which software version a stream goes on
 * @param requestMemory holds the bodies of callers' requests
 * @param responseMemory holds responses of upstreams that are not complete yet
 */
public record ForwardingServices(
        ConfigurationHolder configuration,
        ReplicaRegistry replicas,
        UpstreamTracks tracks,
        UpstreamNotices notices,
        UpstreamLimits limits,
        AccountLimits accountLimits,
        EnginePlacement engines,
        Placement plain,
        RetryAllowance retries,
        CrashLedger crashes,
        CrashReporter crashReporter,
        StreamVersions streamVersions,
        RequestDialect dialect,
        AdapterHttpClient client,
        BufferMemory requestMemory,
        BufferMemory responseMemory,
        UsageLedger usage,
        MetricRegistry metrics,
        MonotonicClock clock) {

    /** Why nothing was sent to an upstream that could not be reached. */
    static final String NOT_CONNECTED = "not_connected";

    /** Why nothing was sent to an upstream that left between its choice and the first byte. */
    static final String LEFT_BEFORE_SEND = "left_before_send";

    /** Returns why nothing was sent to an upstream that accepted work when it was chosen. */
    String unsentReason(ReplicaEntry chosen) {
        return replicas.isStillAccepting(chosen) ? NOT_CONNECTED : LEFT_BEFORE_SEND;
    }

    /** Takes one retry from the allowance of a service; returns false if none is left. */
    boolean tryRetry(ServiceName service) {
        boolean granted = retries.tryRetry(service);
        metrics.counter(granted ? "retries.granted" : "retries.denied").inc();
        return granted;
    }

    /** Records a failure of an upstream, which is ejected if it fails too often. */
    void recordFailure(UpstreamTrack track, String reason) {
        tracks.failed(track, replicas.accepting(track.entry().service()), reason);
    }
}
