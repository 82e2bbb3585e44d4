package io.banyantally.internal.admission;

/** Decides when a request may go to an upstream, or that it may not. */
@FunctionalInterface
public interface Admission {

    /**
     * Waits for the request's turn. The ticket is closed when the request has ended in any way.
     *
     * @throws AdmissionRefusedException at once when a limit is reached or the predicted wait passes the time limit
     */
    AdmissionTicket admit(AdmissionRequest request) throws AdmissionRefusedException, InterruptedException;
}
