package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.VmId;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.InterfaceOutcomeUnknownException;
import io.banyantally.platform.InterfaceUnavailableException;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against records of a day that cannot tell which term sent an order, and whether it may still arrive. */
final class DutyCallLogTest {

    private static final DutyHolder HOLDER =
            new DutyHolder(new VmId("vm-1"), new FencingNumber((3L << 40) + 512), () -> true);

    private final ManualClock clock = new ManualClock();
    private final DutyCallLog log = new DutyCallLog(EventLog.of(DutyCallLogTest.class), clock);
    private final Logger logger = Logger.getLogger(DutyCallLogTest.class.getName());
    private final List<LogRecord> records = new ArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            records.add(line);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void capture() {
        logger.addHandler(handler);
    }

    @AfterEach
    void release() {
        logger.removeHandler(handler);
    }

    /** Guards against excerpts that are cut before the term, since lines are long. */
    @Test
    void termAndOutcomePrecedeTheDetails() {
        begin().answered("accepted", EventField.of("stage", "DECODE"));

        assertEquals(
                "event=stage_ordered upstream=i-1 fencing=3298534883840 era=3 outcome=accepted took_ms=40 age_ms=900"
                        + " stage=DECODE",
                records.getLast().getMessage());
    }

    /** Guards against excerpts without the order that may arrive late, as they keep warnings only. */
    @Test
    void unknownOutcomeIsAWarning() {
        begin().failed(new InterfaceOutcomeUnknownException("got no response"));

        assertEquals(Level.WARNING.intValue(), records.getLast().getLevel().intValue());
        assertTrue(records.getLast().getMessage().contains(" outcome=unknown took_ms=40 "));
    }

    /** Guards against a warning for an order that was not sent. */
    @Test
    void callThatWasNotCarriedOutIsNoWarning() {
        begin().failed(new InterfaceUnavailableException("was not sent"));

        assertEquals(Level.INFO.intValue(), records.getLast().getLevel().intValue());
        assertTrue(records.getLast()
                .getMessage()
                .endsWith(" outcome=not_done took_ms=40 age_ms=900 reason=\"was not sent\""));
    }

    private DutyCallLog.Entry begin() {
        DutyCallLog.Entry line =
                log.begin("stage_ordered", HOLDER, Duration.ofMillis(900), EventField.of("upstream", "i-1"));
        clock.advance(Duration.ofMillis(40));
        return line;
    }
}
