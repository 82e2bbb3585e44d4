package io.banyantally.internal.idempotency;

import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.ServiceAnswer;
import java.util.List;

/**
 * The record of a call, stored at {@code call/<account>/<hash>}.
 *
 * @param vm the VM that wrote the claim, the claimer
 * @param incarnation the claimer's incarnation
 * @param attempt the number of the claim within the incarnation
 * @param requestHash the hash of the request; detects an idempotency key that is reused for another request
 * @param reason why the call did not run, or why its outcome is unknown
 * @param status the status of the answer; 0 unless the call ran
 * @param bodyKept whether {@code body} is the body of the answer
 */
record CallRecord(
        String vm,
        long incarnation,
        long attempt,
        String requestHash,
        CallState state,
        String reason,
        int status,
        List<HeaderField> headers,
        byte[] body,
        boolean bodyKept) {

    /**
     * Larger bodies are not stored, so that a record stays far below the size limit of values in the key-value service.
     */
    static final int MAXIMUM_BODY_BYTES = 64 * 1024;

    private static final byte[] NO_BODY = {};

    static CallRecord claim(ClaimId claim, String requestHash) {
        return new CallRecord(
                claim.vm().value(),
                claim.incarnation().value(),
                claim.attempt(),
                requestHash,
                CallState.CLAIMED,
                "",
                0,
                List.of(),
                NO_BODY,
                true);
    }

    CallRecord withAnswer(ServiceAnswer answer) {
        boolean kept = answer.body().length <= MAXIMUM_BODY_BYTES;
        return new CallRecord(
                vm,
                incarnation,
                attempt,
                requestHash,
                CallState.RAN,
                "",
                answer.status(),
                answer.headers(),
                kept ? answer.body() : NO_BODY,
                kept);
    }

    CallRecord withoutAnswer(CallState endState, String cause) {
        return new CallRecord(vm, incarnation, attempt, requestHash, endState, cause, status, headers, body, bodyKept);
    }

    ServiceAnswer answer() {
        return new ServiceAnswer(status, headers, body);
    }

    boolean isClaimedBy(ClaimId claim) {
        return vm.equals(claim.vm().value())
                && incarnation == claim.incarnation().value()
                && attempt == claim.attempt();
    }
}
