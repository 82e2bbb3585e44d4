package io.banyantally.internal.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmKind;
import io.banyantally.platform.VmState;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Wire format of one change of the platform's list: an entry, or the id of a removed one. Sent without field names. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record DirectoryRow(
        String id,
        boolean removed,
        String kind,
        String zone,
        String service,
        String host,
        int port,
        boolean leaving,
        boolean cheap) {

    static DirectoryRow of(DirectoryEntry entry) {
        return new DirectoryRow(
                entry.id(),
                false,
                entry.kind().name(),
                entry.zone().value(),
                entry.service().map(ServiceName::value).orElse(""),
                entry.address().getAddress().getHostAddress(),
                entry.address().getPort(),
                entry.state() == VmState.LEAVING,
                entry.cheap());
    }

    static DirectoryRow removal(String id) {
        return new DirectoryRow(id, true, "", "", "", "", 0, false, false);
    }

    DirectoryEntry toEntry() {
        return new DirectoryEntry(
                id,
                VmKind.valueOf(kind),
                AvailabilityZone.plain(zone),
                service.isEmpty() ? Optional.empty() : Optional.of(ServiceName.plain(service)),
                new InetSocketAddress(host, port),
                leaving ? VmState.LEAVING : VmState.LIVE,
                cheap);
    }
}
