package io.banyantally.internal.crash;

import io.banyantally.deployment.PromptMetadata;
import io.banyantally.model.ServiceName;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.UUID;

/**
 * Identifies a shared part of the prompts of one service. It is a hash, since callers choose the ids of parts and could
 * choose ones that no key of the store may contain.
 */
record PromptPartKey(String value) implements Comparable<PromptPartKey> {

    /** Rejects an empty value. */
    PromptPartKey {
        if (value.isEmpty()) {
            throw new IllegalArgumentException("the key of a prompt part is empty");
        }
    }

    /** Returns the keys of all parts but the last, which no other request has. */
    static Set<PromptPartKey> sharedParts(ServiceName service, PromptMetadata prompt) {
        Set<PromptPartKey> keys = new LinkedHashSet<>();
        for (int part = 0; part < prompt.parts().size() - 1; part++) {
            keys.add(of(service, prompt.parts().get(part).id()));
        }
        return keys;
    }

    private static PromptPartKey of(ServiceName service, String partId) {
        byte[] name = (service + "/" + partId).getBytes(StandardCharsets.UTF_8);
        return new PromptPartKey(UUID.nameUUIDFromBytes(name).toString());
    }

    @Override
    public int compareTo(PromptPartKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
