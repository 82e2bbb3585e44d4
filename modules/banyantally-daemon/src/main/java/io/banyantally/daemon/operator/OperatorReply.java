package io.banyantally.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;

/** An entry daemon's answer. */
record OperatorReply(int status, JsonNode body) {}
