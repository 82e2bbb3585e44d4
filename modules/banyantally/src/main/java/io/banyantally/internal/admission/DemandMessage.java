package io.banyantally.internal.admission;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * The demand on a VM and the shares of limits that it uses, as sent to its peers. Entries are encoded as arrays, since
 * field names made up more than half of the encoded size.
 */
record DemandMessage(List<AccountClaim> accounts, List<ServiceDemand> services) {
    /**
     * The sender's share of and demand for one client account.
     *
     * @param share the fraction of the account's limits that the sender uses, from 0 to 1
     * @param demand requested tokens per second at the sender
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record AccountClaim(String account, double share, double demand) {}

    /** The demand for one service, in seconds of work of all its upstreams together per second. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record ServiceDemand(String service, double demand) {}
}
