package io.banyantally.standins.service;

import io.banyantally.standins.SeenHeader;
import java.util.List;

/**
 * What the service stand-in has executed and seen, as returned by {@code GET /control/report}.
 *
 * @param calls all calls, executed or not
 * @param orders the executed orders by id
 */
public record ServiceReport(long calls, long executions, List<ExecutedOrder> orders, List<SeenHeader> headers) {}
