package io.banyantally.internal.adapter;

import io.banyantally.platform.InterfaceOutcomeUnknownException;
import io.banyantally.platform.InterfaceUnavailableException;
import io.banyantally.platform.PlatformException;
import java.io.IOException;
import java.time.Duration;

/** Sends the calls of the platform interfaces and maps their failures. */
final class PlatformCalls {

    static final Duration TIME_LIMIT = Duration.ofSeconds(2);

    /** Statuses by which the platform says that nothing happened. */
    private static final int REFUSED_FROM = 400;

    private static final int REFUSED_BELOW = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

    private PlatformCalls() {}

    /** Decodes an answer. */
    @FunctionalInterface
    interface Decoder<T> {
        T decode(byte[] body) throws IOException;
    }

    /** Sends a call without effect: whatever fails, nothing happened. */
    static <T> T read(AdapterHttpClient client, HttpCall call, Decoder<T> decoder) throws PlatformException {
        try {
            HttpReply reply = client.send(call, MAXIMUM_ANSWER_BYTES);
            if (!reply.isOk()) {
                throw new InterfaceUnavailableException(call + ": status " + reply.status());
            }
            return decoder.decode(reply.body());
        } catch (ExchangeException | IOException failure) {
            throw new InterfaceUnavailableException(call + " failed", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new InterfaceUnavailableException(call + " was interrupted", interrupted);
        }
    }

    /** Sends a call with an effect: it is unknown whether it happened unless nothing left or the platform refused it. */
    static <T> T write(AdapterHttpClient client, HttpCall call, Decoder<T> decoder) throws PlatformException {
        try {
            HttpReply reply = client.send(call, MAXIMUM_ANSWER_BYTES);
            if (isRefusal(reply.status())) {
                throw new InterfaceUnavailableException(call + ": refused with status " + reply.status());
            }
            if (!reply.isOk()) {
                throw new InterfaceOutcomeUnknownException(call + ": status " + reply.status());
            }
            return decoder.decode(reply.body());
        } catch (NothingSentException failure) {
            throw new InterfaceUnavailableException(call + " was not sent", failure);
        } catch (ExchangeException | IOException failure) {
            throw new InterfaceOutcomeUnknownException(call + " has no answer", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new InterfaceOutcomeUnknownException(call + " was interrupted", interrupted);
        }
    }

    private static boolean isRefusal(int status) {
        return (status >= REFUSED_FROM && status < REFUSED_BELOW) || status == SERVICE_UNAVAILABLE;
    }
}
