package io.banyantally.internal.admission;

import java.util.concurrent.atomic.AtomicBoolean;

/** The ticket of one admitted request. */
final class Ticket implements AdmissionTicket {
    private final ServiceGate gate;
    private final PendingRequest request;
    private final long heldPrefillNanos;
    private final long admittedAt;
    private final AtomicBoolean prefilling = new AtomicBoolean(true);
    private final AtomicBoolean open = new AtomicBoolean(true);

    Ticket(ServiceGate gate, PendingRequest request, long heldPrefillNanos, long admittedAt) {
        this.gate = gate;
        this.request = request;
        this.heldPrefillNanos = heldPrefillNanos;
        this.admittedAt = admittedAt;
    }

    @Override
    public void firstTokenSent() {
        if (prefilling.compareAndSet(true, false)) {
            gate.prefillDone(heldPrefillNanos);
        }
    }

    @Override
    public boolean tryRetry() {
        return request.account.tryRetry();
    }

    @Override
    public void finish(int outputTokens) {
        if (open.compareAndSet(true, false)) {
            request.account.finished(request.expected, request.request.work().outputTokens(), outputTokens);
            leave();
        }
    }

    @Override
    public void close() {
        if (open.compareAndSet(true, false)) {
            request.account.abandoned();
            leave();
        }
    }

    private void leave() {
        firstTokenSent();
        gate.left(gate.now() - admittedAt);
    }
}
