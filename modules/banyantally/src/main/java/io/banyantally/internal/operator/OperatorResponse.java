package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;

/** An HTTP response with a JSON body. */
record OperatorResponse(int status, JsonNode body) {}
