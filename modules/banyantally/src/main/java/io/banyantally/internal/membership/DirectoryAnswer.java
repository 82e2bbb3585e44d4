package io.banyantally.internal.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.banyantally.internal.peer.MessagePackCodec;
import java.util.List;

/**
 * Changes of the platform's list as a source knows it.
 *
 * @param incarnation the source's incarnation, which the numbers belong to
 * @param whole whether the changes begin a list anew, so that what was told before is dropped
 * @param through the number of the last change told
 * @param more whether further changes wait; the list is not complete before the last of them
 * @param ageMillis time since the platform was asked for this list; negative if it never answered
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
