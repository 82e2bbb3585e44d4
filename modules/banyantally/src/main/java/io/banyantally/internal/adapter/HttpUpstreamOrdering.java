package io.banyantally.internal.adapter;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.OrderToken;
import io.banyantally.platform.OrderedUpstream;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.UpstreamOrdering;
import io.banyantally.upstream.SendPermission;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Client of the platform's upstream ordering over HTTP. */
public final class HttpUpstreamOrdering implements UpstreamOrdering {

    private final AdapterHttpClient client;
    private final InetSocketAddress address;
    private final boolean honoursTokens;

    /**
     * Creates a client of the interface at {@code address}.
     *
     * @param honoursTokens whether the interface detects a repeated order by its token, as configured
     */
    public HttpUpstreamOrdering(AdapterHttpClient client, InetSocketAddress address, boolean honoursTokens) {
        this.client = client;
        this.address = address;
        this.honoursTokens = honoursTokens;
    }

    @Override
    public boolean honoursTokens() {
        return honoursTokens;
    }

    @Override
    public List<OrderedUpstream> list(ServiceName service, AvailabilityZone zone) throws PlatformException {
        String target =
                OrderingRequest.PATH + "?service=" + urlEncode(service.value()) + "&zone=" + urlEncode(zone.value());
        return PlatformCalls.read(
                client,
                HttpCall.read(address, target, PlatformCalls.TIME_LIMIT),
                body -> WireFormat.decodeList(body, OrderedUpstream.class));
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    @Override
    public UpstreamId order(
            ServiceName service, AvailabilityZone zone, boolean cheap, OrderToken token, FencingNumber fencingNumber)
            throws PlatformException {
        return order(service, zone, cheap, token, fencingNumber, () -> true);
    }

    @Override
    public void giveBack(UpstreamId upstream, FencingNumber fencingNumber) throws PlatformException {
        giveBack(upstream, fencingNumber, () -> true);
    }

    @Override
    public UpstreamId order(
            ServiceName service,
            AvailabilityZone zone,
            boolean cheap,
            OrderToken token,
            FencingNumber fencingNumber,
            SendPermission permission)
            throws PlatformException {
        OrderingRequest request = new OrderingRequest(service, zone, cheap, token, fencingNumber);
        return PlatformCalls.write(
                client,
                HttpCall.write(address, OrderingRequest.PATH, request, PlatformCalls.TIME_LIMIT)
                        .withPermission(permission),
                body -> WireFormat.decode(body, UpstreamId.class));
    }

    @Override
    public void giveBack(UpstreamId upstream, FencingNumber fencingNumber, SendPermission permission)
            throws PlatformException {
        GiveBackRequest request = new GiveBackRequest(upstream, fencingNumber);
        PlatformCalls.write(
                client,
                HttpCall.write(address, GiveBackRequest.PATH, request, PlatformCalls.TIME_LIMIT)
                        .withPermission(permission),
                body -> upstream);
    }
}
