package io.banyantally.internal.forwarding;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import java.io.IOException;
import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles the requests of callers; blocks its thread until the response is sent. */
final class ForwardingHandler extends Handler.Abstract {

    private static final EventLog LOG = EventLog.of(ForwardingHandler.class);

    private final ForwardingServices services;
    private final OpenExchanges openExchanges;
    private final ShutdownAdmission admission;
    private volatile boolean closingConnections;

    ForwardingHandler(ForwardingServices services, OpenExchanges open, ShutdownAdmission admission) {
        this.services = services;
        this.openExchanges = open;
        this.admission = admission;
    }

    /** Closes connections after their next response from now on. */
    void closeConnections() {
        closingConnections = true;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        CallerExchange caller = new CallerExchange(request, response);
        openExchanges.add(caller);
        try {
            if (closingConnections) {
                caller.closeAfterResponse();
            }
            new ForwardedRequest(services, caller, admission).run();
            callback.succeeded();
        } catch (IOException aborted) {
            callback.failed(aborted);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            callback.failed(interrupted);
        } catch (RuntimeException | Error fault) {
            LOG.error("request_fault", fault, EventField.of("target", caller.path()));
            respondToFault(caller, callback, fault);
        } finally {
            openExchanges.remove(caller);
        }
        return true;
    }

    private static void respondToFault(CallerExchange caller, Callback callback, Throwable fault) {
        try {
            if (caller.isCommitted()) {
                throw new IOException("the request failed after the response had started", fault);
            }
            caller.respond(Refusal.BAD_GATEWAY, List.of(), new byte[0]);
            callback.succeeded();
        } catch (IOException aborted) {
            callback.failed(aborted);
        }
    }
}
