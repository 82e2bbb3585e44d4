package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;

/** A read-only part of the status, which a subsystem registers under a name. Called for each request; must not block long. */
@FunctionalInterface
public interface StatusSection {

    /** Returns the present status. It must not hold keys or prompts. */
    JsonNode read();
}
