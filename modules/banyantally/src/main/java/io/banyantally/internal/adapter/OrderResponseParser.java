package io.banyantally.internal.adapter;

import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.ServiceAnswer;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/** Parses the interim and the final response to one order from a stream. */
final class OrderResponseParser implements HttpParser.ResponseHandler {

    private static final int MAXIMUM_BODY_BYTES = 64 * 1024;

    /**
     * For the interim and the final response: half for the largest body, half for headers, chunk framing and trailers.
     */
    private static final int MAXIMUM_TOTAL_BYTES = 2 * MAXIMUM_BODY_BYTES;

    private static final int BUFFER_BYTES = 4 * 1024;

    private final HttpParser parser = new HttpParser(this);
    private final ByteBuffer unread = ByteBuffer.allocate(BUFFER_BYTES).flip();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final List<HeaderField> headers = new ArrayList<>();
    private int bytesRead;
    private int status;
    private boolean complete;
    private String problem = "";

    /** Reads one response, interim or final; {@code limit} is applied before each read of the stream. */
    ServiceAnswer read(InputStream input, ReadLimit limit) throws IOException {
        parser.reset();
        body.reset();
        headers.clear();
        complete = false;
        while (!complete) {
            if (!unread.hasRemaining()) {
                limit.apply();
                fill(input);
            }
            parser.parseNext(unread);
            if (!problem.isEmpty()) {
                throw new IOException("the response is not valid HTTP: " + problem);
            }
        }
        return new ServiceAnswer(status, headers, body.toByteArray());
    }

    /** Sets the timeout of the next read. */
    @FunctionalInterface
    interface ReadLimit {

        void apply() throws IOException;
    }

    private void fill(InputStream input) throws IOException {
        int count = input.read(unread.array());
        if (count < 0) {
            parser.atEOF();
            parser.parseNext(unread);
            if (!complete) {
                throw new EOFException("the server closed the connection before the end of its response");
            }
            return;
        }
        bytesRead += count;
        if (bytesRead > MAXIMUM_TOTAL_BYTES) {
            throw new IOException("the response is longer than " + MAXIMUM_TOTAL_BYTES + " bytes");
        }
        unread.position(0).limit(count);
    }

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
        status = code;
    }

    @Override
    public void parsedHeader(HttpField field) {
        headers.add(new HeaderField(field.getName(), field.getValue()));
    }

    @Override
    public boolean headerComplete() {
        return false;
    }

    @Override
    public boolean content(ByteBuffer content) {
        if (body.size() + content.remaining() > MAXIMUM_BODY_BYTES) {
            problem = "the body is longer than " + MAXIMUM_BODY_BYTES + " bytes";
            return true;
        }
        while (content.hasRemaining()) {
            body.write(content.get());
        }
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        complete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        problem = "the connection was closed before the end of the response";
    }

    @Override
    public void badMessage(org.eclipse.jetty.http.HttpException failure) {
        problem = failure.getReason();
    }
}
