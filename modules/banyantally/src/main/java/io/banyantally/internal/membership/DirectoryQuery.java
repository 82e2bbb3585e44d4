package io.banyantally.internal.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.banyantally.internal.peer.MessagePackCodec;

/** Asks a source for the changes after a number that this source's incarnation has given. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record DirectoryQuery(String incarnation, long after) {

    static final MessagePackCodec<DirectoryQuery> CODEC = MessagePackCodec.of(DirectoryQuery.class);
}
