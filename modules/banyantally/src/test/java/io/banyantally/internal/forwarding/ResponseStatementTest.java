package io.banyantally.internal.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.banyantally.deployment.ResponseMetadata;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the heads of upstreams' responses promise. */
final class ResponseStatementTest {

    private static final Set<Integer> TAKEN_AS_NOT_RUN = Set.of(408, 421, 429, 503);

    /** Guards against a false promise, a second run, and a success that is not the upstream's. */
    @ParameterizedTest
    @CsvSource({
        "200, false, true,  true,  Ran",
        "206, false, true,  true,  Ran",
        "200, false, false, true,  MayHaveRun",
        "200, false, true,  false, MayHaveRun",
        "200, true,  true,  true,  MayHaveRun",
        "301, false, true,  true,  Ran",
        "400, true,  false, false, NotRun",
        "400, false, true,  true,  Ran",
        "404, false, true,  true,  Ran",
        "408, false, true,  true,  MayHaveRun",
        "408, true,  true,  true,  NotRun",
        "421, false, false, false, NotRun",
        "421, true,  true,  true,  NotRun",
        "429, false, true,  true,  MayHaveRun",
        "429, true,  false, true,  NotRun",
        "500, false, true,  true,  Ran",
        "500, true,  true,  true,  NotRun",
        "502, false, false, true,  Ran",
        "503, false, true,  true,  MayHaveRun",
        "503, true,  false, false, NotRun",
        "504, false, true,  true,  Ran"
    })
    void headStatesWhetherTheRequestHasRun(
            int status, boolean notExecuted, boolean signed, boolean named, String expected) {
        ResponseStatement statement = ResponseStatement.of(status, metadata(status, notExecuted, signed, named));

        assertEquals(expected, statement.getClass().getSimpleName());
    }

    /** Guards against a status that callers take as "not run" for a request that may have run. */
    @Test
    void noStatusThatCallersTakeAsNotRunIsPassedOn() {
        for (int status = 200; status < 600; status++) {
            for (int flags = 0; flags < 8; flags++) {
                ResponseMetadata metadata = metadata(status, (flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0);
                if (ResponseStatement.of(status, metadata) instanceof ResponseStatement.Ran) {
                    assertFalse(TAKEN_AS_NOT_RUN.contains(status) || metadata.notExecuted(), status + " " + metadata);
                }
            }
        }
    }

    /** Guards against taking the late copy of another response for the one to the request. */
    @Test
    void responseBelongsToTheAttemptThatItNames() {
        ResponseMetadata named = metadata(200, false, true, true);
        ResponseMetadata unnamed = metadata(200, false, true, false);

        assertEquals(Optional.empty(), ResponseStatement.mismatch(named.attempt(), "attempt", false));
        assertEquals(Optional.of("crossed_answer"), ResponseStatement.mismatch(named.attempt(), "other", true));
        assertEquals(Optional.of("unnamed_answer"), ResponseStatement.mismatch(unnamed.attempt(), "attempt", false));
        assertEquals(Optional.empty(), ResponseStatement.mismatch(unnamed.attempt(), "attempt", true));
        assertInstanceOf(ResponseStatement.MayHaveRun.class, ResponseStatement.of(200, unnamed));
    }

    private static ResponseMetadata metadata(int status, boolean notExecuted, boolean signed, boolean named) {
        return new ResponseMetadata(
                notExecuted,
                status == 421,
                signed,
                named ? Optional.of("attempt") : Optional.empty(),
                Optional.empty(),
                false,
                Optional.empty(),
                OptionalDouble.empty());
    }
}
