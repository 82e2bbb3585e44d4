package io.banyantally.internal.crash;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.model.VmId;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CrashStoreKeysTest {

    /** The platform's store accepts no longer key. */
    private static final int MAXIMUM_KEY_BYTES = 200;

    /** Guards against crashes that can't be reported because of the name of their upstream. */
    @ParameterizedTest
    @ValueSource(strings = {"i 1/a", "é"})
    void keyOfAReportFitsTheStoreForTheLongestName(String part) {
        String upstream = part.repeat(MAXIMUM_KEY_BYTES / part.getBytes(StandardCharsets.UTF_8).length);

        String path = CrashStoreKeys.report(upstream, new VmId("v".repeat(64)), Long.MAX_VALUE)
                .path();

        assertTrue(path.getBytes(StandardCharsets.UTF_8).length <= MAXIMUM_KEY_BYTES, path);
    }
}
