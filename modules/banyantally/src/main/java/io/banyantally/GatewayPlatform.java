package io.banyantally;

import io.banyantally.deployment.DocumentKeys;
import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.RequestDialect;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.ReplicaOrdering;
import io.banyantally.platform.StageOrdering;
import io.banyantally.platform.UsageWindowSink;
import java.net.InetSocketAddress;
import java.util.Map;
import org.eclipse.jetty.server.Handler;

/** The platform that a gateway runs on. Implementations translate names, formats and calls, and decide nothing. */
public interface GatewayPlatform {

    /** Returns the store in which state lasts. */
    CoordinationStore store();

    /** Returns where the operator's and the upstreams' documents lie. */
    DocumentKeys keys();

    /** Returns the reader of those documents. */
    DocumentReader documents();

    /** Returns the translation of request headers. */
    RequestDialect dialect();

    /** Returns the receiver of usage. */
    UsageWindowSink usage();

    /** Returns the interface that orders upstreams. */
    ReplicaOrdering replicaOrdering();

    /** Returns the interface that changes the stages of engines. */
    StageOrdering stageOrdering();

    /** Returns what answers at the gateway's further addresses, such as its readiness and the callers' addresses. */
    Map<InetSocketAddress, Handler> handlers(Gateway gateway);
}
