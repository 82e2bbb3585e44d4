package io.banyantally.platform;

import io.banyantally.model.ClientAccountId;

/**
 * A sealed usage window of one client account.
 *
 * @param window the window's number
 * @param late the part of {@code figures} that belongs to earlier windows and became known after these were sealed
 */
public record UsageReport(ClientAccountId account, long window, UsageFigures figures, UsageFigures late) {}
