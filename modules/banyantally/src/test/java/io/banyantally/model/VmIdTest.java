package io.banyantally.model;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against identifiers that would break key paths, headers or log lines. */
final class VmIdTest {

    @Test
    void rejectsValueWithSlashAndNamesIt() {
        IllegalArgumentException failure = assertThrows(IllegalArgumentException.class, () -> new VmId("a/b"));
        assertTrue(failure.getMessage().contains("'a/b'"));
    }
}
