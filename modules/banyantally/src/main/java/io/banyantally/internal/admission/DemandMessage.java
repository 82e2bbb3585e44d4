package io.banyantally.internal.admission;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What a VM tells its peers of the demand that it sees and of the shares of limits that it uses. Entries are arrays without
 * field names, which were more than half of the bytes.
 */
record DemandMessage(List<AccountClaim> accounts, List<ServiceDemand> services) {
    /**
     * One client account.
     *
     * @param share the part of the account's limits that the sender uses, 0 to 1
     * @param demand tokens a second that the sender was asked for
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record AccountClaim(String account, double share, double demand) {}

    /** One service; {@code demand} is the work that the sender was asked for, in fleet seconds a second. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record ServiceDemand(String service, double demand) {}
}
