package io.banyantally.standins.experiment;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import java.util.List;
import java.util.stream.Stream;

/** The two sites, with their workloads and zones. */
enum Site {
    /** Long prompts with whole inspection histories, each used by several questions, beside short questions. */
    QUITO,
    /** Long prompts with telemetry logs after one shared manual, beside short questions. */
    SFAX;

    /** Both sites run six engines behind six entry VMs. */
    static final int ENGINES = 6;

    static final int VMS = 6;

    private static final ServiceName QUITO_SERVICE = new ServiceName("asistente");
    private static final ServiceName SFAX_SERVICE = new ServiceName("advisor-llm");
    private static final List<AvailabilityZone> QUITO_ZONES = zones("quito-n", "quito-s", "ambato");
    private static final List<AvailabilityZone> SFAX_ZONES = zones("sfax-north", "sfax-port", "sfax-campus");
    private static final List<Double> QUITO_ACCOUNTS = List.of(0.30, 0.22, 0.12, 0.10, 0.08, 0.07, 0.06, 0.05);
    private static final List<Double> SFAX_ACCOUNTS = List.of(0.34, 0.26, 0.09, 0.08, 0.07, 0.06, 0.05, 0.05);

    private static List<AvailabilityZone> zones(String... names) {
        return Stream.of(names).map(AvailabilityZone::new).toList();
    }

    ServiceName service() {
        return this == QUITO ? QUITO_SERVICE : SFAX_SERVICE;
    }

    List<AvailabilityZone> zones() {
        return this == QUITO ? QUITO_ZONES : SFAX_ZONES;
    }

    /** Returns the share of the requests that a client account sends; a few accounts are large. */
    double accountShare(int account) {
        return (this == QUITO ? QUITO_ACCOUNTS : SFAX_ACCOUNTS).get(account);
    }

    int accounts() {
        return QUITO_ACCOUNTS.size();
    }

    boolean sharedManual() {
        return this == SFAX;
    }
}
