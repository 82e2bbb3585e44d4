package io.banyantally.standins.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.HttpPlainService;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.ExchangeId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.testing.FaultRow;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.ServiceCall;
import io.banyantally.upstream.WrongAnswerException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against wrong execution counts, on which the checks of "at most once" rely. */
final class ServiceStandInTest {

    private final AdapterHttpClient client = AdapterHttpClient.start();
    private ServiceStandIn standIn;
    private HttpPlainService service;

    @BeforeEach
    void start() throws Exception {
        standIn = ServiceStandIn.start(0);
        service = new HttpPlainService(client, standIn.address());
    }

    @AfterEach
    void stop() {
        client.close();
        standIn.close();
    }

    private static ServiceCall call(long counter, String orderId) {
        byte[] body = ("{\"orderId\":\"" + orderId + "\"}").getBytes(StandardCharsets.UTF_8);
        ExchangeId exchange = new ExchangeId(new VmId("v"), new Incarnation(1), counter);
        return new ServiceCall(exchange, "POST", "/deposits", List.of(), body);
    }

    private void setMode(ServiceBehaviour.Mode mode) {
        standIn.setBehaviour(new ServiceBehaviour(mode, 0, 1));
    }

    @Test
    void executionsAreCountedByOrderFromBodyOrHeader() throws Exception {
        service.call(call(1, "a"));
        service.call(call(2, "a"));
        ExchangeId exchange = new ExchangeId(new VmId("v"), new Incarnation(1), 3);
        List<HeaderField> headers = List.of(new HeaderField(ServiceStandIn.ORDER_HEADER, "b"));
        service.call(new ServiceCall(exchange, "POST", "/deposits", headers, new byte[0]));
        assertEquals(
                List.of(new ExecutedOrder("a", 2), new ExecutedOrder("b", 1)),
                standIn.report().orders());
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "call", fault = "answer lost after the execution")
    void callWithLostAnswerRunsOnce() throws Exception {
        setMode(ServiceBehaviour.Mode.CLOSE_AFTER);
        assertThrows(AnswerTruncatedException.class, () -> service.call(call(1, "a")));
        assertEquals(List.of(new ExecutedOrder("a", 1)), standIn.report().orders());
        assertEquals(1, standIn.report().calls());
    }

    @Test
    void failuresBeforeTheExecutionExecuteNothing() throws Exception {
        setMode(ServiceBehaviour.Mode.CLOSE_BEFORE);
        assertThrows(AnswerTruncatedException.class, () -> service.call(call(1, "a")));
        setMode(ServiceBehaviour.Mode.FAIL_BEFORE);
        assertEquals(503, service.call(call(2, "a")).status());
        assertEquals(0, standIn.report().executions());
        setMode(ServiceBehaviour.Mode.FAIL_AFTER);
        assertEquals(500, service.call(call(3, "a")).status());
        assertEquals(1, standIn.report().executions());
    }

    @Test
    @FaultRow(promise = Promise.COMPLETE_OWN_ANSWER, step = "answer of a call", fault = "crossed answer")
    void crossedAnswerIsRejected() {
        setMode(ServiceBehaviour.Mode.CROSS_ANSWER);
        assertThrows(WrongAnswerException.class, () -> service.call(call(1, "a")));
    }
}
