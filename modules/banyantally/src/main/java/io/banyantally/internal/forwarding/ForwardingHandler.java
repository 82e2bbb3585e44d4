package io.banyantally.internal.forwarding;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import java.io.IOException;
import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Runs each request of a caller in the request's own task. */
final class ForwardingHandler extends Handler.Abstract {

    private static final EventLog LOG = EventLog.of(ForwardingHandler.class);

    private final ForwardingServices services;
    private final OpenExchanges open;
    private final ShutdownAdmission admission;
    private volatile boolean closing;

    ForwardingHandler(ForwardingServices services, OpenExchanges open, ShutdownAdmission admission) {
        this.services = services;
        this.open = open;
        this.admission = admission;
    }

    /** From now on every answer closes its connection. */
    void closeConnections() {
        closing = true;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        CallerExchange caller = new CallerExchange(request, response);
        open.add(caller);
        try {
            if (closing) {
                caller.closeAfterAnswer();
            }
            new ForwardedRequest(services, caller, admission).run();
            callback.succeeded();
        } catch (IOException cut) {
            callback.failed(cut);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            callback.failed(stopped);
        } catch (RuntimeException | Error fault) {
            LOG.error("request_fault", fault, EventField.of("target", caller.path()));
            answerFault(caller, callback, fault);
        } finally {
            open.remove(caller);
        }
        return true;
    }

    private static void answerFault(CallerExchange caller, Callback callback, Throwable fault) {
        try {
            if (caller.isCommitted()) {
                throw new IOException("the answer had begun when the request failed", fault);
            }
            caller.answer(Refusal.BAD_GATEWAY, List.of(), new byte[0]);
            callback.succeeded();
        } catch (IOException cut) {
            callback.failed(cut);
        }
    }
}
