package io.banyantally.internal.adapter;

import io.banyantally.platform.InterfaceOutcomeUnknownException;
import io.banyantally.platform.InterfaceUnavailableException;
import io.banyantally.platform.PlatformException;
import java.io.IOException;
import java.time.Duration;

/** Sends requests to the platform interfaces and maps failures to platform exceptions. */
final class PlatformCalls {

    static final Duration TIME_LIMIT = Duration.ofSeconds(2);

    /** The platform did not execute a request that it answers with 400 to 499, or with 503. */
    private static final int REFUSED_FROM = 400;

    private static final int REFUSED_BELOW = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

    private PlatformCalls() {}

    /** Decodes a response body. */
    @FunctionalInterface
    interface Decoder<T> {
        T decode(byte[] body) throws IOException;
    }

    /** Sends a request without side effects; every failure is an {@link InterfaceUnavailableException}. */
    static <T> T read(AdapterHttpClient client, HttpCall call, Decoder<T> decoder) throws PlatformException {
        try {
            HttpReply reply = client.send(call, MAXIMUM_RESPONSE_BYTES);
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

    /**
     * Sends a request with side effects; a failure leaves its outcome unknown, unless it was not sent or was refused.
     */
    static <T> T write(AdapterHttpClient client, HttpCall call, Decoder<T> decoder) throws PlatformException {
        try {
            HttpReply reply = client.send(call, MAXIMUM_RESPONSE_BYTES);
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
            throw new InterfaceOutcomeUnknownException(call + " got no valid response", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new InterfaceOutcomeUnknownException(call + " was interrupted", interrupted);
        }
    }

    private static boolean isRefusal(int status) {
        return (status >= REFUSED_FROM && status < REFUSED_BELOW) || status == SERVICE_UNAVAILABLE;
    }
}
