package io.banyantally.model;

/**
 * Identifies one exchange with an upstream. Unique over restarts, because it carries the incarnation, so a late answer to
 * an earlier process is recognised.
 */
public record ExchangeId(VmId vm, Incarnation incarnation, long counter) {

    @Override
    public String toString() {
        return vm + "/" + incarnation + "/" + counter;
    }
}
