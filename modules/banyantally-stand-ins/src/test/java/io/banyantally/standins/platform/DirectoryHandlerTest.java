package io.banyantally.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.HttpVmDirectory;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmKind;
import io.banyantally.platform.VmState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a directory that shows changes before the lag, or loses fields of an entry on the wire. */
final class DirectoryHandlerTest {

    private static final DirectoryEntry ENTRY = new DirectoryEntry(
            "asistente-1",
            VmKind.ENGINE,
            new AvailabilityZone("quito-n"),
            Optional.of(new ServiceName("asistente")),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 4321),
            VmState.LIVE,
            true);

    @Test
    void changesAreVisibleOnlyAfterTheLag() throws Exception {
        try (PlatformStandIn platform = PlatformStandIn.start(0, new OrderingOptions(), 5, 0);
                AdapterHttpClient client = AdapterHttpClient.start()) {
            HttpVmDirectory directory = new HttpVmDirectory(client, platform.address());
            post(platform, "/directory", WireFormat.encode(ENTRY));
            assertEquals(List.of(ENTRY), directory.list());
            post(platform, "/control/directory-lag?millis=3600000", new byte[0]);
            post(platform, "/directory/leaving?id=asistente-1", new byte[0]);
            assertEquals(VmState.LIVE, directory.list().getFirst().state());
            post(platform, "/control/directory-lag?millis=0", new byte[0]);
            assertEquals(VmState.LEAVING, directory.list().getFirst().state());
            post(platform, "/directory/remove?id=asistente-1", new byte[0]);
            assertEquals(List.of(), directory.list());
        }
    }

    private static void post(PlatformStandIn platform, String target, byte[] body) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + platform.address().getPort() + target);
        try (HttpClient http = HttpClient.newHttpClient()) {
            HttpRequest request = HttpRequest.newBuilder(uri)
                    .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                    .build();
            assertEquals(
                    200,
                    http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode());
        }
    }
}
