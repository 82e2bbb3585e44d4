package io.banyantally.testing;

import io.banyantally.deployment.AccountRule;
import io.banyantally.deployment.CallerLimits;
import io.banyantally.deployment.DeploymentConfiguration;
import io.banyantally.deployment.EngineRule;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.RequestKind;
import io.banyantally.deployment.RouteRule;
import io.banyantally.deployment.ServiceRule;
import io.banyantally.deployment.ServiceShare;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/** Configurations and upstreams of a small deployment, for tests. */
public final class Deployments {

    /** The name of a service of model engines. */
    public static final ServiceName ENGINES = new ServiceName("engines");

    /** The name of a plain service. */
    public static final ServiceName PLAIN = new ServiceName("plain");

    /** The API key of the only account. */
    public static final String KEY = "key-of-account-1";

    /** The id of the only account. */
    public static final ClientAccountId ACCOUNT = new ClientAccountId("account-1");

    private Deployments() {}

    /** Creates a route for a path prefix, to {@link #ENGINES} for a streaming one and to {@link #PLAIN} otherwise. */
    public static RouteRule route(String prefix, RequestKind kind, int attempts, Duration timeout) {
        return new RouteRule(
                "route" + prefix.replace('/', '-'),
                "host.example",
                prefix,
                kind,
                timeout,
                Duration.ofMillis(120),
                1,
                List.of(new ServiceShare(kind == RequestKind.STREAMING ? ENGINES : PLAIN, 1)),
                attempts,
                false,
                prefix.contains("resumable"));
    }

    /** Creates a configuration with these routes, both services and one account. */
    public static DeploymentConfiguration configuration(long version, RouteRule... routes) {
        return new DeploymentConfiguration(
                version,
                List.of(routes),
                List.of(
                        new ServiceRule(
                                ENGINES,
                                100,
                                Optional.of(new EngineRule(16, 783_000, Duration.ofSeconds(3))),
                                Optional.empty()),
                        new ServiceRule(PLAIN, 100, Optional.empty(), Optional.empty())),
                new CallerLimits(8192, 65536, Duration.ofSeconds(3), Duration.ofSeconds(15)),
                List.of(new AccountRule(ACCOUNT, Set.of(KEY), OptionalInt.empty())));
    }

    /** Creates an upstream of the plain service. */
    public static ReplicaEntry plain(String id, InetSocketAddress address) {
        return new ReplicaEntry(
                new UpstreamId(id),
                PLAIN,
                address,
                new AvailabilityZone("zone-a"),
                6,
                false,
                EngineStage.NONE,
                false,
                OptionalLong.empty(),
                OptionalLong.empty(),
                new SoftwareVersion("v1"));
    }

    /** Creates an engine for the prefill or decode stage. */
    public static ReplicaEntry engine(String id, String zone, EngineStage stage) {
        return new ReplicaEntry(
                new UpstreamId(id),
                ENGINES,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                new AvailabilityZone(zone),
                16,
                false,
                stage,
                false,
                OptionalLong.empty(),
                OptionalLong.empty(),
                new SoftwareVersion("v1"));
    }
}
