package io.banyantally.internal.admission;

/** Admits requests to upstreams, delays them under load, or refuses them. */
@FunctionalInterface
public interface Admission {

    /**
     * Waits until the request is admitted. The caller closes the ticket when the request has ended, successfully or
     * not.
     *
     * @throws AdmissionRefusedException without waiting, if a limit is reached or the predicted wait exceeds the time
     *     limit; or while waiting, if the request has waited for too long
     */
    AdmissionTicket admit(AdmissionRequest request) throws AdmissionRefusedException, InterruptedException;
}
