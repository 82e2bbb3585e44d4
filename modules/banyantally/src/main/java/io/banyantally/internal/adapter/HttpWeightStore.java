package io.banyantally.internal.adapter;

import io.banyantally.model.ModelName;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.WeightStore;
import java.net.InetSocketAddress;
import java.util.List;

/** Client of the platform's weight store over HTTP. */
public final class HttpWeightStore implements WeightStore {

    /** The path that lists the versions of a model. */
    public static final String PATH = "/weights";

    private final AdapterHttpClient client;
    private final InetSocketAddress address;

    /** Creates a client of the store at {@code address}. */
    public HttpWeightStore(AdapterHttpClient client, InetSocketAddress address) {
        this.client = client;
        this.address = address;
    }

    @Override
    public List<String> versions(ModelName model) throws PlatformException {
        return PlatformCalls.read(
                client,
                HttpCall.read(address, PATH + "?model=" + model, PlatformCalls.TIME_LIMIT),
                body -> WireFormat.decodeList(body, String.class));
    }
}
