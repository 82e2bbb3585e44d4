package io.banyantally.internal.adapter;

import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.VmDirectory;
import java.net.InetSocketAddress;
import java.util.List;

/** Client of the platform's list of VMs over HTTP. */
public final class HttpVmDirectory implements VmDirectory {

    /** The path of the list. */
    public static final String PATH = "/directory";

    private final AdapterHttpClient client;
    private final InetSocketAddress address;

    /** Creates a client of the list at {@code address}. */
    public HttpVmDirectory(AdapterHttpClient client, InetSocketAddress address) {
        this.client = client;
        this.address = address;
    }

    @Override
    public List<DirectoryEntry> list() throws PlatformException {
        return PlatformCalls.read(
                client,
                HttpCall.read(address, PATH, PlatformCalls.TIME_LIMIT),
                body -> WireFormat.decodeList(body, DirectoryEntry.class));
    }
}
