package io.banyantally.internal.routing;

import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.model.ServiceName;

/** Estimates the work of a generation without the part of its prompt that some upstream probably has in its cache. */
@FunctionalInterface
public interface WorkEstimator {

    /** Returns {@code fullEstimate} without the cached part of the prompt, with at least one prompt token. */
    WorkEstimate estimate(ServiceName service, String prompt, WorkEstimate fullEstimate);
}
