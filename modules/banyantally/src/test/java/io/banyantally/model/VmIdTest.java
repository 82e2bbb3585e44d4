package io.banyantally.model;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against identifiers that would corrupt store keys, headers or log lines. */
final class VmIdTest {

    @Test
    void rejectsValueWithSlashAndShowsItInTheMessage() {
        IllegalArgumentException failure = assertThrows(IllegalArgumentException.class, () -> new VmId("a/b"));
        assertTrue(failure.getMessage().contains("'a/b'"));
    }
}
