package io.banyantally.standins.load;

/**
 * A call to a plain service.
 *
 * @param idempotencyKey empty for a call that only reads
 * @param orderId the id by which the service counts executions; empty for a call that only reads
 */
public record PlannedCall(
        LoadAccount account, String service, String method, String path, String idempotencyKey, String orderId)
        implements PlannedRequest {

    /** Returns whether the call may run at most once. */
    public boolean isOrder() {
        return !orderId.isEmpty();
    }
}
