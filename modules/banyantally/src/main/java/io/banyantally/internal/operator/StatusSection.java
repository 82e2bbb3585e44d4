package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A read-only section of the status that a subsystem registers under a name. Called for each request; must not block
 * for long.
 */
@FunctionalInterface
public interface StatusSection {

    /** Returns the current status, which must not contain keys or prompts. */
    JsonNode read();
}
