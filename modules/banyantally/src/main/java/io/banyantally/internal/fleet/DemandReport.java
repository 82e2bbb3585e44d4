package io.banyantally.internal.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.banyantally.internal.peer.MessagePackCodec;
import java.util.List;

/**
 * Request and answer of the topic {@code fleet.demand}.
 *
 * @param wantsOthers whether the response should include the demand that the receiver knows of other VMs
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record DemandReport(boolean wantsOthers, List<VmDemand> vms) {

    static final MessagePackCodec<DemandReport> CODEC = MessagePackCodec.of(DemandReport.class);

    /** Copies the list. */
    DemandReport {
        vms = List.copyOf(vms);
    }

    /** The demand on one VM, measured {@code ageMillis} ago. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record VmDemand(String vm, long ageMillis, List<ServiceRate> services) {

        /** Copies the list. */
        VmDemand {
            services = List.copyOf(services);
        }
    }

    /** The demand for one service in tokens per second. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record ServiceRate(String service, double prompt, double output, double longPart) {}
}
