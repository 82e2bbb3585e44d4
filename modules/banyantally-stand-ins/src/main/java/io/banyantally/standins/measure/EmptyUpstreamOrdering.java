package io.banyantally.standins.measure;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.InterfaceUnavailableException;
import io.banyantally.platform.OrderToken;
import io.banyantally.platform.OrderedUpstream;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.UpstreamOrdering;
import java.util.List;

/** An ordering interface that lists no upstreams and refuses orders. */
final class EmptyUpstreamOrdering implements UpstreamOrdering {

    @Override
    public boolean honoursTokens() {
        return true;
    }

    @Override
    public List<OrderedUpstream> list(ServiceName service, AvailabilityZone zone) {
        return List.of();
    }

    @Override
    public UpstreamId order(
            ServiceName service, AvailabilityZone zone, boolean cheap, OrderToken token, FencingNumber fencingNumber)
            throws PlatformException {
        throw new InterfaceUnavailableException("this measurement orders no upstreams");
    }

    @Override
    public void giveBack(UpstreamId upstream, FencingNumber fencingNumber) {}
}
