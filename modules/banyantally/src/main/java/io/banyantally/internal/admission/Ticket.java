package io.banyantally.internal.admission;

import java.util.concurrent.atomic.AtomicBoolean;

/** The ticket of one request admitted by a {@link ServiceGate}. */
final class Ticket implements AdmissionTicket {
    private final ServiceGate gate;
    private final PendingRequest request;
    private final long heldPrefillNanos;
    private final long admittedAt;
    private final AtomicBoolean prefillRunning = new AtomicBoolean(true);
    private final AtomicBoolean open = new AtomicBoolean(true);

    Ticket(ServiceGate gate, PendingRequest request, long heldPrefillNanos, long admittedAt) {
        this.gate = gate;
        this.request = request;
        this.heldPrefillNanos = heldPrefillNanos;
        this.admittedAt = admittedAt;
    }

    @Override
    public void firstTokenSent() {
        if (prefillRunning.compareAndSet(true, false)) {
            gate.prefillEnded(heldPrefillNanos);
        }
    }

    @Override
    public boolean tryRetry() {
        return request.account.tryRetry();
    }

    @Override
    public void finish(int outputTokens) {
        if (open.compareAndSet(true, false)) {
            request.account.recordCompletion(
                    request.expected, request.request.work().outputTokens(), outputTokens);
            release();
        }
    }

    @Override
    public void close() {
        if (open.compareAndSet(true, false)) {
            request.account.release();
            release();
        }
    }

    private void release() {
        firstTokenSent();
        gate.requestEnded(gate.now() - admittedAt);
    }
}
