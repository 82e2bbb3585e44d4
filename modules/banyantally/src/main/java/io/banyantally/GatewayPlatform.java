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

/**
 * The platform that a gateway runs on. Implementations only translate names, formats and requests; they make no
 * decisions.
 */
public interface GatewayPlatform {

    /** Returns the store of persistent shared state. */
    CoordinationStore store();

    /** Returns the store keys of the operator's configuration and of the upstreams' entries. */
    DocumentKeys keys();

    /** Returns the parser of these documents. */
    DocumentReader documents();

    /** Returns the translation between the platform's request headers and the gateway's. */
    RequestDialect dialect();

    /** Returns the interface that receives usage reports. */
    UsageWindowSink usage();

    /** Returns the interface that orders upstreams. */
    ReplicaOrdering replicaOrdering();

    /** Returns the interface that switches engines between inference stages. */
    StageOrdering stageOrdering();

    /**
     * Returns the handlers of the gateway's additional listen addresses, such as for readiness and the callers'
     * addresses.
     */
    Map<InetSocketAddress, Handler> handlers(Gateway gateway);
}
