package io.banyantally.deployment;

import io.banyantally.upstream.HeaderField;
import java.util.List;
import java.util.Optional;

/** Translates between the HTTP headers of a deployment and the data on which the gateway decides. */
public interface RequestDialect {

    /** Parses the headers of a caller's request. */
    RequestMetadata readRequest(List<HeaderField> headers) throws MalformedRequestException;

    /** Returns the headers to send to an upstream: those of the caller that are forwarded, and those of the gateway. */
    List<HeaderField> upstreamHeaders(List<HeaderField> callerHeaders, UpstreamRequestOptions send);

    /** Returns the attempt that a response names. */
    Optional<String> answeredAttempt(List<HeaderField> headers);

    /** Parses the status and headers of an upstream's response. */
    ResponseMetadata readResponse(int status, List<HeaderField> headers);

    /** Returns the headers of an upstream's response that are forwarded to the caller. */
    List<HeaderField> callerHeaders(List<HeaderField> upstreamHeaders);

    /** Returns the headers of a response that the gateway itself creates for a request. */
    List<HeaderField> gatewayResponseHeaders(RequestMetadata facts);

    /** Parses the response of a prefill engine. */
    PrefillResponse readPrefillResponse(byte[] body) throws UnreadableDocumentException;

    /** Returns the request target of a call that releases a KV cache handle. */
    String cacheReleaseTarget(String handle);
}
