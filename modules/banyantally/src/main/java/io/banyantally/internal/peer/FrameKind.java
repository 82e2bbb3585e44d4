package io.banyantally.internal.peer;

import java.io.IOException;

/** The kind of a frame, with the code that is sent. */
enum FrameKind {
    /** The first frame in each direction; identifies the sender. */
    HELLO(0),
    /** A request of a topic. */
    REQUEST(1),
    /** The answer to a request. */
    ANSWER(2),
    /** Sent in place of an answer if a request failed; the payload is the error message. */
    FAILURE(3);

    private final int code;

    FrameKind(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    static FrameKind ofCode(int code) throws IOException {
        for (FrameKind kind : values()) {
            if (kind.code == code) {
                return kind;
            }
        }
        throw new IOException("frame kind " + code + " is unknown");
    }
}
