package io.banyantally.internal.usage;

import io.banyantally.model.ClientAccountId;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

/** The deliveries that wait for the same acknowledgement of a replica. Changed only under the replicator's lock. */
final class CommitBatch {

    private final Set<ClientAccountId> accounts = new HashSet<>();
    private final CountDownLatch released = new CountDownLatch(1);
    private long tokens;

    void add(ClientAccountId account, long addedTokens) {
        accounts.add(account);
        tokens += addedTokens;
    }

    Set<ClientAccountId> accounts() {
        return accounts;
    }

    long tokens() {
        return tokens;
    }

    boolean isEmpty() {
        return accounts.isEmpty();
    }

    void release() {
        released.countDown();
    }

    boolean isReleased() {
        return released.getCount() == 0;
    }

    void await() throws InterruptedException {
        released.await();
    }
}
