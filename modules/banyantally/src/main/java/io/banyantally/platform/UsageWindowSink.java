package io.banyantally.platform;

import io.banyantally.model.ClientAccountId;
import java.util.Map;

/** The platform interface that receives the usage of all client accounts in a window. */
@FunctionalInterface
public interface UsageWindowSink {

    /**
     * Reports the usage of a window. A retry must report the same counts.
     *
     * @param counts the number of requests that started in the window, by client account
     * @throws InterfaceUnavailableException if the report was not accepted
     * @throws InterfaceOutcomeUnknownException if the report may have been accepted
     */
    void report(DutyHolder holder, long window, Map<ClientAccountId, Long> counts)
            throws PlatformException, InterruptedException;
}
