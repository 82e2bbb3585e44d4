package io.banyantally.internal.placement;

/**
 * What VMs know of the limit of one upstream, and how much of it they use.
 *
 * @param startedAtMillis the start of the upstream's lifetime; negative if it does not say when
 * @param limitPerSecond the requests a second that it takes; negative if it names no limit any more
 * @param ageMillis how long ago it last said so
 * @param windowSends the requests that were sent to it in the window of the limit
 * @param secondSends the requests that were sent to it in the last second
 * @param wantingVms the VMs that have had a request for it lately
 */
public record LimitUse(
        String upstream,
        long startedAtMillis,
        double limitPerSecond,
        long ageMillis,
        int windowSends,
        int secondSends,
        int wantingVms) {}
