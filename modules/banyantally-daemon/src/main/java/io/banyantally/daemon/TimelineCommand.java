package io.banyantally.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.banyantally.internal.timeline.Event;
import io.banyantally.internal.timeline.EventList;
import io.banyantally.internal.timeline.TimelineMerger;
import io.banyantally.internal.timeline.TimelinePage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the merged event time line of all entry daemons, or writes it as an HTML page. */
@Command(
        name = "timeline",
        mixinStandardHelpOptions = true,
        description = {
            "Merges the recent events of all entry daemons into one list.",
            "A daemon returns the events of its peers too; several addresses tolerate the failure of one daemon.",
            "Exit codes: 0 if at least one daemon responded, 1 if none did."
        })
final class TimelineCommand implements Callable<Integer> {

    private static final int TIMEOUT_SECONDS = 10;
    private static final int MAXIMUM_RESPONSE_BYTES = 256 * 1024 * 1024;
    private static final int OK = 200;

    @Option(
            names = "--address",
            required = true,
            split = ",",
            description = "Addresses of daemons, such as 10.0.0.1:8080.")
    private List<String> addresses;

    @Option(names = "--token-file", required = true, description = "File that holds the operator's token.")
    private Path tokenFile;

    @Option(names = "--html", description = "Write a self-contained HTML page to this file.")
    private Optional<Path> html;

    @Option(names = "--output", defaultValue = "text", description = "text or json.")
    private String output;

    private final ObjectMapper mapper = new ObjectMapper().registerModule(new Jdk8Module());

    @Override
    public Integer call() throws Exception {
        String token = Files.readString(tokenFile).trim();
        List<Event> gathered = new ArrayList<>();
        boolean anyResponse = false;
        HttpClient client = new HttpClient();
        client.start();
        try {
            for (String address : addresses) {
                Optional<EventList> events = read(client, address, token);
                anyResponse |= events.isPresent();
                events.map(EventList::toEvents).ifPresent(gathered::addAll);
            }
        } finally {
            client.stop();
        }
        if (!anyResponse) {
            return 1;
        }
        List<Event> merged = TimelineMerger.merge(gathered);
        if (html.isPresent()) {
            Files.writeString(html.get(), TimelinePage.render(merged));
            System.out.println(merged.size() + " events written to " + html.get());
        } else if (output.equals("json")) {
            System.out.println(mapper.writeValueAsString(EventList.of(merged)));
        } else {
            merged.forEach(event -> System.out.println(line(event)));
        }
        return 0;
    }

    private Optional<EventList> read(HttpClient client, String address, String token)
            throws IOException, InterruptedException {
        Request request = client.newRequest("http://" + address + "/operator/v1/status/timeline")
                .headers(headers -> headers.put("Authorization", "Bearer " + token))
                .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        try {
            ContentResponse response = new CompletableResponseListener(request, MAXIMUM_RESPONSE_BYTES)
                    .send()
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (response.getStatus() == OK) {
                return Optional.of(mapper.readValue(response.getContent(), EventList.class));
            }
            System.err.println(address + " answered with status " + response.getStatus());
        } catch (ExecutionException | TimeoutException failure) {
            System.err.println(address + " does not respond: " + failure.getMessage());
        }
        return Optional.empty();
    }

    private static String line(Event event) {
        String fields = event.fields().stream()
                .map(field -> field.name() + "=" + field.value())
                .collect(Collectors.joining(" "));
        return Instant.ofEpochMilli(event.wallClockMillis())
                + " " + event.id().vm()
                + " " + event.kind().name().toLowerCase(Locale.ROOT)
                + " " + fields
                + event.cause().map(cause -> " cause=" + cause).orElse("")
                + " id=" + event.id();
    }
}
