package io.banyantally.internal.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.exchange.WorkMessage.UpstreamWork;
import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.placement.AccountUse;
import io.banyantally.internal.placement.LimitUse;
import io.banyantally.internal.placement.RateReport;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Compares the encoding with the mapping by reflection, which VMs of an earlier version use. */
final class WorkMessageCodecTest {

    private static final MessagePackCodec<WorkMessage> REFLECTIVE = MessagePackCodec.of(WorkMessage.class);

    @SuppressWarnings("rawtypes") // The codec takes a class.
    private static final MessagePackCodec<Map> MAPS = MessagePackCodec.of(Map.class);

    private static final WorkMessage FULL = new WorkMessage(
            List.of(new UpstreamWork("e1", 3, 12.25, 150, 240, 70), new UpstreamWork("e2", 1, 0.5, 0, 0, 0)),
            List.of(new LimitUse("e1", 1_790_000_000_000L, 5.3, 40, 7, 2, 4), new LimitUse("e2", -1, -1, 0, 0, 0, 0)),
            28,
            Optional.of(1_790_000_000_001L),
            Optional.of(44L),
            new RateReport(
                    List.of(new RateReport.Sums("engines/PREFILL", List.of(1.5, 0.0, 3e-8))),
                    List.of(new RateReport.Sums("e1@7", List.of(2.0)))),
            List.of(new AccountUse("a1", 1_633_041, 200, 9_190, 18_380), new AccountUse("a2", 0, 0, 0, 0)));

    private static final WorkMessage EMPTY =
            new WorkMessage(List.of(), List.of(), 0, Optional.empty(), Optional.empty(), RateReport.NONE, List.of());

    /** Guards against a field that is lost on the way, such as one that was added to the record only. */
    @Test
    void allFieldsAreCarried() throws PeerException {
        assertEquals(FULL, WorkMessageCodec.decode(WorkMessageCodec.encode(FULL)));
        assertEquals(EMPTY, WorkMessageCodec.decode(WorkMessageCodec.encode(EMPTY)));
    }

    /** Guards against VMs that do not understand each other during a rolling update. */
    @Test
    void earlierVersionsUnderstandTheEncoding() throws PeerException {
        for (WorkMessage message : List.of(FULL, EMPTY)) {
            assertEquals(message, REFLECTIVE.decode(WorkMessageCodec.encode(message)));
            assertEquals(message, WorkMessageCodec.decode(REFLECTIVE.encode(message)));
        }
    }

    /** Guards against a later version whose messages are refused because of a new field, or of one that it drops. */
    @Test
    void unknownAndAbsentFieldsAreAllowed() throws PeerException {
        byte[] message = MAPS.encode(Map.of(
                "later",
                List.of(Map.of("deep", 1)),
                "work",
                List.of(Map.of("upstream", "e1", "requests", 2, "millis", 7, "later", "text"))));

        WorkMessage expected = new WorkMessage(
                List.of(new UpstreamWork("e1", 2, 7, 0, 0, 0)),
                List.of(),
                0,
                Optional.empty(),
                Optional.empty(),
                RateReport.NONE,
                List.of());
        assertEquals(expected, WorkMessageCodec.decode(message));
    }

    /** Guards against a damaged message that ends the task of the exchange with another exception. */
    @Test
    void truncatedMessagesAreRefused() {
        byte[] whole = WorkMessageCodec.encode(FULL);
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThrows(PeerException.class, () -> WorkMessageCodec.decode(part));
        }
        assertThrows(PeerException.class, () -> WorkMessageCodec.decode(MAPS.encode(Map.of("work", "text"))));
        assertThrows(PeerException.class, () -> WorkMessageCodec.decode(MAPS.encode(Map.of())));
    }

    /** Guards against messages that spell out fields without a value, which are most fields of most upstreams. */
    @Test
    void messageOfUsualWorkIsAtMostSixTenthsOfAllFields() {
        WorkMessage usual = new WorkMessage(
                IntStream.range(0, 30)
                        .mapToObj(index -> new UpstreamWork("upstream-" + index, 1 + index, 20.5 * index, 0, 0, 0))
                        .toList(),
                List.of(),
                28,
                Optional.of(3L),
                Optional.empty(),
                RateReport.NONE,
                List.of());

        int size = WorkMessageCodec.encode(usual).length;

        int allFields = REFLECTIVE.encode(usual).length;
        assertTrue(size * 10 <= allFields * 6, size + " bytes, with all fields " + allFields);
    }
}
