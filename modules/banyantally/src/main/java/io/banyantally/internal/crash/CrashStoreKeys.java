package io.banyantally.internal.crash;

import io.banyantally.model.VmId;
import io.banyantally.platform.StoreKey;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;

/** Keys in the platform's store of reported crashes and of the parts of prompts that were served after them. */
public final class CrashStoreKeys {

    /** Prefix of all keys, which all VMs watch. */
    public static final String PREFIX = "banyantally/crashes/";

    private static final String REPORT_PREFIX = PREFIX + "reports/";
    private static final String CLEARED_PREFIX = PREFIX + "cleared/";

    private CrashStoreKeys() {}

    /**
     * Returns the key of a report of one VM on the crash of an upstream; {@code number} counts its reports. The key has a
     * hash of the upstream's name, which may be as long as a key of the store.
     */
    static StoreKey report(String upstream, VmId vm, long number) {
        UUID hash = UUID.nameUUIDFromBytes(upstream.getBytes(StandardCharsets.UTF_8));
        return new StoreKey(REPORT_PREFIX + hash + "/" + vm + "/" + number);
    }

    /** Returns the key that says that a part of prompts was served after the crashes reported so far. */
    static StoreKey cleared(PromptPartKey part) {
        return new StoreKey(CLEARED_PREFIX + part);
    }

    /** Returns the part that a key clears; empty if the key is one of a report. */
    static Optional<PromptPartKey> clearedPart(StoreKey key) {
        return key.path().startsWith(CLEARED_PREFIX) && key.path().length() > CLEARED_PREFIX.length()
                ? Optional.of(new PromptPartKey(key.path().substring(CLEARED_PREFIX.length())))
                : Optional.empty();
    }
}
