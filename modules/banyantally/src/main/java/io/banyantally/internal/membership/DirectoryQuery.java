package io.banyantally.internal.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.banyantally.internal.peer.MessagePackCodec;

/** Requests the changes after a change number that was assigned by the given incarnation of the receiver. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record DirectoryQuery(String incarnation, long after) {

    static final MessagePackCodec<DirectoryQuery> CODEC = MessagePackCodec.of(DirectoryQuery.class);
}
