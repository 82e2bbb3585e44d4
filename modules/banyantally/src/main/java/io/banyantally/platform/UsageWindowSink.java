package io.banyantally.platform;

import io.banyantally.model.ClientAccountId;
import java.util.Map;

/** The platform's interface that takes the usage of all client accounts in a window. */
@FunctionalInterface
public interface UsageWindowSink {

    /**
     * Reports a window. A repeat must carry the same counts.
     *
     * @param counts the requests that began to run in the window, by client account
     * @throws InterfaceUnavailableException if the report was certainly not taken
     * @throws InterfaceOutcomeUnknownException if it may have been taken
     */
    void report(DutyHolder holder, long window, Map<ClientAccountId, Long> counts)
            throws PlatformException, InterruptedException;
}
