package io.banyantally.internal.usage;

import io.banyantally.internal.authority.Scope;
import io.banyantally.model.ClientAccountId;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** The buckets of client accounts; each has one owner that seals and reports its windows. */
public final class UsageBuckets {

    /**
     * Must never change: another count would move accounts to buckets whose sealed records do not include their usage.
     */
    public static final int COUNT = 16;

    private UsageBuckets() {}

    /** Returns the bucket of an account, from 0 to {@link #COUNT} - 1. */
    public static int of(ClientAccountId account) {
        CRC32C hash = new CRC32C();
        hash.update(account.value().getBytes(StandardCharsets.UTF_8));
        return (int) (hash.getValue() % COUNT);
    }

    /** Returns the scope whose owner seals a bucket. */
    public static Scope scopeOf(int bucket) {
        if (bucket < 0 || bucket >= COUNT) {
            throw new IllegalArgumentException("bucket " + bucket + " is not valid; use 0 to " + (COUNT - 1));
        }
        return new Scope("usage-" + bucket);
    }
}
