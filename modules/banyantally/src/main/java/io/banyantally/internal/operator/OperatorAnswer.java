package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;

/** A status code with a JSON body. */
record OperatorAnswer(int status, JsonNode body) {}
