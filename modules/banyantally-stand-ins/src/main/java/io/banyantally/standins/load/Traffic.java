package io.banyantally.standins.load;

import java.util.List;

/**
 * What the callers of a deployment send.
 *
 * @param model the model that callers name unless the command line says otherwise
 * @param document the length of a history or a log
 * @param question the length of a question
 * @param hasSharedManual whether every long prompt starts with the same manual
 * @param plainService the service that answers the calls
 * @param readPaths paths that are read
 * @param orderPaths paths that take orders which may run once
 */
record Traffic(
        String model,
        TokenRange document,
        TokenRange question,
        boolean hasSharedManual,
        String plainService,
        List<String> readPaths,
        List<String> orderPaths) {

    static final Traffic QUITO = new Traffic(
            "asistente",
            new TokenRange(4_000, 24_000),
            new TokenRange(40, 200),
            false,
            "reservas",
            List.of("/slots", "/inspections"),
            List.of("/slots/bookings", "/deposits"));

    static final Traffic SFAX = new Traffic(
            "advisor-llm",
            new TokenRange(2_000, 12_000),
            new TokenRange(40, 150),
            true,
            "harbour-api",
            List.of("/buoys", "/packs"),
            List.of("/packs/orders"));
}
