package io.banyantally.deployment;

import io.banyantally.model.ServiceName;
import java.util.Optional;

/**
 * One service of the configuration.
 *
 * @param connectionLimit the most connections that an upstream accepts, over all VMs
 * @param engine present if the upstreams are model engines
 * @param scaling present if upstreams of the service may be ordered
 */
public record ServiceRule(
        ServiceName name, int connectionLimit, Optional<EngineRule> engine, Optional<ScalingRule> scaling) {}
