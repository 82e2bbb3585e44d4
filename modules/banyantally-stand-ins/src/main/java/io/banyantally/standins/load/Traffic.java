package io.banyantally.standins.load;

import java.util.List;

/**
 * The traffic that the callers of a deployment send.
 *
 * @param model the model of the chats unless the command line names another
 * @param document the length of a history or log
 * @param question the length of a question
 * @param hasSharedManual whether every long prompt starts with the same manual
 * @param plainService the plain service that is called
 * @param readPaths paths of calls that only read
 * @param orderPaths paths of orders, which may run at most once
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
