package io.banyantally.internal.http;

import java.io.IOException;

/** Writes an answer to the caller as it comes. */
interface AnswerWriter {

    /** Writes the text of one token. */
    void token(String text) throws IOException;

    /** Writes the end of a whole answer. */
    void end(GenerationResult result) throws IOException;

    /** Writes that the answer ends incomplete; used only after something was written. */
    void fail(RequestRefusedException failure) throws IOException;

    /** Returns whether anything has been written to the caller. */
    boolean hasStarted();
}
