package io.banyantally.model;

/**
 * Identifies one exchange, that is a request to an upstream and its response. Unique across restarts, because it
 * contains the incarnation, so a late response to an earlier process is detected.
 */
public record ExchangeId(VmId vm, Incarnation incarnation, long counter) {

    @Override
    public String toString() {
        return vm + "/" + incarnation + "/" + counter;
    }
}
