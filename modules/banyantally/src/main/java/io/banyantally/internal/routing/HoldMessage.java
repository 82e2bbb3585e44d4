package io.banyantally.internal.routing;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.banyantally.internal.peer.MessagePackCodec;
import java.util.List;

/**
 * Request and answer of the topic {@code routing.hold}: each side sends the holds that it knows.
 *
 * @param wantsReports whether the answer should also carry the reports that the receiver got from other VMs
 * @param reports the sender's own report first
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record HoldMessage(boolean wantsReports, List<HoldRow> rows, List<HoldReport> reports) {

    static final MessagePackCodec<HoldMessage> CODEC = MessagePackCodec.of(HoldMessage.class);

    HoldMessage {
        rows = List.copyOf(rows);
        reports = List.copyOf(reports);
    }
}
