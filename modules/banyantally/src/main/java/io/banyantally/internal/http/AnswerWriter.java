package io.banyantally.internal.http;

import java.io.IOException;

/** Writes a generated answer to the caller, as a stream or as one response. */
interface AnswerWriter {

    /** Writes the text of one token. */
    void writeToken(String text) throws IOException;

    /** Writes the end of a complete answer. */
    void writeEnd(GenerationResult result) throws IOException;

    /** Ends an incomplete answer with an error; called only after {@link #hasStarted} is true. */
    void writeFailure(RequestFailedException failure) throws IOException;

    /** Returns whether any part of the response has been written to the caller. */
    boolean hasStarted();
}
