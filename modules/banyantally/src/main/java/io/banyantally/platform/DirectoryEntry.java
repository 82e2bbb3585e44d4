package io.banyantally.platform;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * One VM in the platform's list.
 *
 * @param id the VM's name, unique in the site
 * @param service the service that the VM is a replica of; empty for entry VMs
 * @param address where it listens
 * @param cheap whether the platform may reclaim it at a few seconds' notice
 */
public record DirectoryEntry(
        String id,
        VmKind kind,
        AvailabilityZone zone,
        Optional<ServiceName> service,
        InetSocketAddress address,
        VmState state,
        boolean cheap) {}
