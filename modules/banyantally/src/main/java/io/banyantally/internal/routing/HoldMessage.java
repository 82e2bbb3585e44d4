package io.banyantally.internal.routing;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.banyantally.internal.peer.MessagePackCodec;
import java.util.List;

/**
 * Request and answer of the topic {@code routing.hold}: both sides tell the holds that they know.
 *
 * @param wantsReports whether the answer should also carry what other VMs reported to the receiver
 * @param reports the sender's own report first
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record HoldMessage(boolean wantsReports, List<HoldRow> rows, List<HoldReport> reports) {

    static final MessagePackCodec<HoldMessage> CODEC = MessagePackCodec.of(HoldMessage.class);

    /** Copies the lists. */
    HoldMessage {
        rows = List.copyOf(rows);
        reports = List.copyOf(reports);
    }
}
