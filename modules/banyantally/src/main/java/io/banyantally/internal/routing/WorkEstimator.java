package io.banyantally.internal.routing;

import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.model.ServiceName;

/** Estimates the work of a generation without the part of its prompt that some upstream probably holds. */
@FunctionalInterface
public interface WorkEstimator {

    /** Returns the work that is left of {@code whole}. */
    WorkEstimate estimate(ServiceName service, String prompt, WorkEstimate whole);
}
