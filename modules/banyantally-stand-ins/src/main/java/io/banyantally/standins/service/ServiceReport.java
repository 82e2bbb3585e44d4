package io.banyantally.standins.service;

import io.banyantally.standins.ReceivedHeader;
import java.util.List;

/**
 * Calls, executions and received headers of the service stand-in, as returned by {@code GET /control/report}.
 *
 * @param calls all calls, executed or not
 * @param orders the executed orders by id
 */
public record ServiceReport(long calls, long executions, List<ExecutedOrder> orders, List<ReceivedHeader> headers) {}
