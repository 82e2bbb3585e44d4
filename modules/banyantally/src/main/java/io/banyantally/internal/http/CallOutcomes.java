package io.banyantally.internal.http;

import io.banyantally.internal.idempotency.CallIdentity;
import io.banyantally.internal.idempotency.CallOutcome;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ServiceName;
import io.banyantally.upstream.ServiceAnswer;

/** Turns outcomes of calls that may not be repeated into answers and typed errors. */
final class CallOutcomes {

    private CallOutcomes() {}

    static CallIdentity identity(ClientAccountId account, ServiceName service, String idempotencyKey)
            throws RequestRefusedException {
        try {
            return new CallIdentity(account, service, idempotencyKey);
        } catch (IllegalArgumentException invalid) {
            throw RequestRefusedException.notRun(ErrorType.INVALID_REQUEST, invalid.getMessage());
        }
    }

    static ServiceAnswer answerOf(CallOutcome outcome, CallIdentity identity) throws RequestRefusedException {
        return switch (outcome) {
            case CallOutcome.Ran ran -> ran.answer();
            case CallOutcome.NotRun notRun ->
                throw RequestRefusedException.notRun(ErrorType.CALL_NOT_RUN, notRun.retryAfter(), notRun.reason());
            case CallOutcome.Unknown unknown ->
                throw RequestRefusedException.mayHaveRun(
                        ErrorType.OUTCOME_UNKNOWN,
                        unknown.reason() + "; ask /v1/calls/" + identity.service() + "/" + identity.idempotencyKey()
                                + " later");
            case CallOutcome.InProgress inProgress ->
                throw RequestRefusedException.notRun(
                        ErrorType.CALL_IN_PROGRESS,
                        inProgress.retryAfter(),
                        "a call with this idempotency key is running; this request started nothing");
            case CallOutcome.IdentityReused reused ->
                throw RequestRefusedException.notRun(
                        ErrorType.IDEMPOTENCY_KEY_REUSED, "the idempotency key was used with another request before");
            case CallOutcome.NotFound notFound ->
                throw RequestRefusedException.notRun(
                        ErrorType.UNKNOWN_CALL, "no call with this idempotency key is known");
        };
    }
}
