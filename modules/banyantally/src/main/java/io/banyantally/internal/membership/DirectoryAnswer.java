package io.banyantally.internal.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.banyantally.internal.peer.MessagePackCodec;
import java.util.List;

/**
 * Changes of the platform's VM list, as sent by a peer.
 *
 * @param incarnation the sender's incarnation, to which the change numbers belong
 * @param whole whether the changes start a full list, so that the receiver discards earlier entries
 * @param through the number of the last change that this answer covers
 * @param more whether further changes follow; the list is incomplete until the last of them
 * @param ageMillis time since the platform was asked for this list; negative if the sender has no list yet
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record DirectoryAnswer(
        String incarnation, boolean whole, long through, boolean more, long ageMillis, List<DirectoryRow> changes) {

    static final MessagePackCodec<DirectoryAnswer> CODEC = MessagePackCodec.of(DirectoryAnswer.class);

    /** Copies the list. */
    DirectoryAnswer {
        changes = List.copyOf(changes);
    }
}
