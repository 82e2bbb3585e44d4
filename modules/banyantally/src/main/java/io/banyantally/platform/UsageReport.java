package io.banyantally.platform;

import io.banyantally.model.ClientAccountId;

/**
 * A sealed usage window of one client account.
 *
 * @param window the window's number
 * @param late the part of the figures that was served in an earlier window and became known after it was sealed
 */
public record UsageReport(ClientAccountId account, long window, UsageFigures figures, UsageFigures late) {}
