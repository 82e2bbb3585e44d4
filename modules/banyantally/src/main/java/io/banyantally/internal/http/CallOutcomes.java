package io.banyantally.internal.http;

import io.banyantally.internal.idempotency.CallIdentity;
import io.banyantally.internal.idempotency.CallOutcome;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ServiceName;
import io.banyantally.upstream.ServiceAnswer;

/** Converts outcomes of non-idempotent calls to answers or typed errors. */
final class CallOutcomes {

    private CallOutcomes() {}

    static CallIdentity identity(ClientAccountId account, ServiceName service, String idempotencyKey)
            throws RequestFailedException {
        try {
            return new CallIdentity(account, service, idempotencyKey);
        } catch (IllegalArgumentException invalid) {
            throw RequestFailedException.notRun(ErrorType.INVALID_REQUEST, invalid.getMessage());
        }
    }

    static ServiceAnswer answerOf(CallOutcome outcome, CallIdentity identity) throws RequestFailedException {
        return switch (outcome) {
            case CallOutcome.Ran ran -> ran.answer();
            case CallOutcome.NotRun notRun ->
                throw RequestFailedException.notRun(ErrorType.CALL_NOT_RUN, notRun.retryAfter(), notRun.reason());
            case CallOutcome.Unknown unknown ->
                throw RequestFailedException.mayHaveRun(
                        ErrorType.OUTCOME_UNKNOWN,
                        unknown.reason() + "; query /v1/calls/" + identity.service() + "/" + identity.idempotencyKey()
                                + " later for the outcome");
            case CallOutcome.InProgress inProgress ->
                throw RequestFailedException.notRun(
                        ErrorType.CALL_IN_PROGRESS,
                        inProgress.retryAfter(),
                        "a call with this idempotency key is in progress; this request was not sent");
            case CallOutcome.IdentityReused reused ->
                throw RequestFailedException.notRun(
                        ErrorType.IDEMPOTENCY_KEY_REUSED,
                        "the idempotency key was used for a different request before");
            case CallOutcome.NotFound notFound ->
                throw RequestFailedException.notRun(
                        ErrorType.UNKNOWN_CALL, "there is no record of a call with this idempotency key");
        };
    }
}
