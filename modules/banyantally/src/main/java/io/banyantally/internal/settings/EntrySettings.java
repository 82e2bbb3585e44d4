package io.banyantally.internal.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Region;
import io.banyantally.model.VmId;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of an entry daemon.
 *
 * @param callers the address to which callers and operators connect
 * @param peers the address to which other entry VMs connect
 * @param seeds entry VMs to connect to before the platform's list of VMs is known
 * @param usageWindowSeconds how long a usage window stays open
 * @param addressTimeToLiveMillis how long callers may cache the addresses that they were given
 * @param drainLimitSeconds how long a graceful shutdown waits for running requests
 */
public record EntrySettings(
        VmId vm,
        String site,
        Region region,
        AvailabilityZone zone,
        InetSocketAddress callers,
        InetSocketAddress peers,
        List<PeerSeed> seeds,
        List<ZoneDistance> distances,
        PlatformSettings platform,
        OperatorTokenSettings operatorToken,
        FleetControlSettings fleet,
        int usageWindowSeconds,
        int addressTimeToLiveMillis,
        int drainLimitSeconds,
        int maximumHeaderBytes,
        int maximumBodyBytes,
        int maximumPromptTokens) {

    private static final int DEFAULT_USAGE_WINDOW_SECONDS = 60;
    private static final int DEFAULT_ADDRESS_TIME_TO_LIVE_MILLIS = 5_000;
    private static final int DEFAULT_DRAIN_LIMIT_SECONDS = 600;
    private static final int DEFAULT_MAXIMUM_HEADER_BYTES = 16 * 1024;
    private static final int DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
    private static final int DEFAULT_MAXIMUM_PROMPT_TOKENS = 200_000;
    private static final int MAXIMUM_CONFIGURABLE_BODY_BYTES = 64 * 1024 * 1024;

    private static final ObjectMapper MAPPER = new ObjectMapper().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    /** Copies the lists. */
    public EntrySettings {
        seeds = List.copyOf(seeds);
        distances = List.copyOf(distances);
    }

    /**
     * Reads a settings file.
     *
     * @throws SettingsException if the file is unreadable or its settings are invalid; lists all problems
     */
    public static EntrySettings readFile(Path file) throws SettingsException {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException failure) {
            throw new SettingsException(
                    file.toString(),
                    List.of(new SettingsProblem("$", "no readable file (" + failure + ")", "a JSON file")));
        }
    }

    /**
     * Reads settings from their JSON text.
     *
     * @throws SettingsException if the settings are invalid; lists all problems
     */
    public static EntrySettings read(String source, String json) throws SettingsException {
        List<SettingsProblem> problems = new ArrayList<>();
        JsonNode root;
        try {
            root = MAPPER.readTree(json);
        } catch (JsonProcessingException failure) {
            throw new SettingsException(
                    source, List.of(new SettingsProblem("$", failure.getOriginalMessage(), "valid JSON")));
        }
        EntrySettings settings = read(JsonFields.of(root, problems));
        if (!problems.isEmpty()) {
            throw new SettingsException(source, problems);
        }
        return settings;
    }

    private static EntrySettings read(JsonFields fields) {
        EntrySettings settings = new EntrySettings(
                fields.text("vm", "a VM id", new VmId("none"), VmId::new),
                fields.text("site", "a site name", "none", text -> new Region(text).value()),
                fields.text("region", "a region name", new Region("none"), Region::new),
                fields.text("zone", "an availability zone", new AvailabilityZone("none"), AvailabilityZone::plain),
                fields.address("callers"),
                fields.address("peers"),
                fields.objects("seeds", PeerSeed::read),
                fields.objects("distances", ZoneDistance::read),
                PlatformSettings.read(fields.object("platform")),
                OperatorTokenSettings.read(fields.object("operatorToken")),
                FleetControlSettings.read(fields.optionalObject("fleet")),
                fields.integer("usageWindowSeconds", 1, 3_600, DEFAULT_USAGE_WINDOW_SECONDS),
                fields.integer("addressTimeToLiveMillis", 100, 60_000, DEFAULT_ADDRESS_TIME_TO_LIVE_MILLIS),
                fields.integer("drainLimitSeconds", 1, 86_400, DEFAULT_DRAIN_LIMIT_SECONDS),
                fields.integer("maximumHeaderBytes", 1_024, 65_536, DEFAULT_MAXIMUM_HEADER_BYTES),
                fields.integer("maximumBodyBytes", 1_024, MAXIMUM_CONFIGURABLE_BODY_BYTES, DEFAULT_MAXIMUM_BODY_BYTES),
                fields.integer("maximumPromptTokens", 1, 10_000_000, DEFAULT_MAXIMUM_PROMPT_TOKENS));
        fields.finish();
        return settings;
    }
}
