package io.banyantally.platform;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * A VM in the platform's list.
 *
 * @param id the VM's name, unique within the site
 * @param service the service that the VM is a replica of; empty for entry VMs
 * @param address the address and port at which it listens
 * @param cheap whether the VM is preemptible: the platform may reclaim it with a few seconds' notice
 */
public record DirectoryEntry(
        String id,
        VmKind kind,
        AvailabilityZone zone,
        Optional<ServiceName> service,
        InetSocketAddress address,
        VmState state,
        boolean cheap) {}
