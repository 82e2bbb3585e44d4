package io.banyantally.deployment;

import io.banyantally.upstream.HeaderField;
import java.util.List;

/** Translates between the headers of a deployment and what the gateway decides by. */
public interface RequestDialect {

    /** Reads the headers of a caller's request. */
    RequestMetadata readRequest(List<HeaderField> headers) throws MalformedRequestException;

    /** Returns the headers to send to an upstream: those of the caller that may pass, and those of the system. */
    List<HeaderField> upstreamHeaders(List<HeaderField> callerHeaders, UpstreamRequestOptions send);

    /** Reads the status and headers of an upstream's answer. */
    ResponseMetadata readResponse(int status, List<HeaderField> headers);

    /** Returns the headers of an upstream's answer that go to the caller. */
    List<HeaderField> callerHeaders(List<HeaderField> upstreamHeaders);

    /** Returns the headers that an answer of the gateway itself carries for a request. */
    List<HeaderField> gatewayResponseHeaders(RequestMetadata facts);

    /** Reads the answer of a prefill engine. */
    PrefillResponse readPrefillResponse(byte[] body) throws UnreadableDocumentException;

    /** Returns the target of a call that frees a KV cache handle. */
    String cacheReleaseTarget(String handle);
}
