package io.banyantally.internal.http;

import io.banyantally.internal.admission.Admission;
import io.banyantally.internal.admission.AdmissionRefusedException;
import io.banyantally.internal.admission.AdmissionRequest;
import io.banyantally.internal.admission.AdmissionTicket;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;

/** Requests admission; records refusals and converts them to typed errors. */
final class AdmissionGate {

    private final Admission admission;
    private final Timeline timeline;

    AdmissionGate(Admission admission, Timeline timeline) {
        this.admission = admission;
        this.timeline = timeline;
    }

    AdmissionTicket admit(AdmissionRequest request) throws RequestFailedException, InterruptedException {
        try {
            return admission.admit(request);
        } catch (AdmissionRefusedException refused) {
            timeline.record(
                    EventKind.REQUEST_REFUSED,
                    EventField.of("account", request.account().account()),
                    EventField.of("service", request.service()),
                    EventField.of("reason", refused.reason()));
            ErrorType type = refused.reason() == AdmissionRefusedException.Reason.ACCOUNT_LIMIT
                    ? ErrorType.ACCOUNT_LIMIT
                    : ErrorType.OVERLOADED;
            throw RequestFailedException.notRun(type, refused.retryAfter(), refused.getMessage());
        }
    }
}
