package io.banyantally.internal.peer;

import java.io.IOException;

/** What a frame is for. */
enum FrameKind {
    /** The first frame in each direction: who the sender is. */
    HELLO(0),
    /** A request of a topic. */
    REQUEST(1),
    /** The answer to a request. */
    ANSWER(2),
    /** The message of a failure that the handler of a request reported. */
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
