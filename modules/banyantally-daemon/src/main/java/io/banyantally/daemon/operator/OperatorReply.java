package io.banyantally.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;

/** The HTTP response of an entry daemon. */
record OperatorReply(int status, JsonNode body) {}
