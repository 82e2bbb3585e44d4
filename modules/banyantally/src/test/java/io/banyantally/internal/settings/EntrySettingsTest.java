package io.banyantally.internal.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against invalid settings that are accepted, and against error messages that name only one of the problems. */
final class EntrySettingsTest {

    private static final String VALID = """
            {"vm":"quito-entry-1","site":"quito","region":"sierra","zone":"quito-n",
             "callers":"127.0.0.1:8080","peers":"127.0.0.1:9080",
             "seeds":[{"vm":"quito-entry-2","address":"127.0.0.1:9081"}],
             "distances":[{"zone":"quito-s","milliseconds":1.0}],
             "platform":{"keyValueStore":"127.0.0.1:7000","upstreamOrdering":"127.0.0.1:7000",
              "usageReports":"127.0.0.1:7000","vmDirectory":"127.0.0.1:7000",
              "weightStore":"127.0.0.1:7000"},
             "operatorToken":{"salt":"00ff","hash":"%s"}}
            """.formatted("ab".repeat(32));

    @Test
    void readsValidSettingsWithDefaults() throws SettingsException {
        EntrySettings settings = EntrySettings.read("test", VALID);
        assertEquals("quito-n", settings.zone().value());
        assertEquals(5_000, settings.addressTimeToLiveMillis());
        assertEquals(16 * 1024, settings.maximumHeaderBytes());
    }

    @Test
    void namesEveryProblemAtOnceWithPathValueAndWhatIsAllowed() {
        String wrong = VALID.replace("\"quito-n\"", "\"quito north\"")
                .replace("127.0.0.1:8080", "localhost")
                .replace("\"site\":\"quito\",", "")
                .replace("\"milliseconds\":1.0", "\"milliseconds\":-1")
                .replace("\"salt\"", "\"salz\"");
        SettingsException failure = assertThrows(SettingsException.class, () -> EntrySettings.read("test", wrong));
        assertNamed(failure, "$.zone: found \"quito north\"; allowed: an availability zone");
        assertNamed(failure, "$.callers: found \"localhost\"");
        assertNamed(failure, "$.site: found nothing");
        assertNamed(failure, "$.distances[0].milliseconds: found -1; allowed: a number from 0.0 to 1000.0");
        assertNamed(failure, "$.operatorToken.salt: found nothing");
        assertNamed(failure, "$.operatorToken.salz: found an unknown field; allowed: only hash, salt");
        assertEquals(6, failure.problems().size(), failure.getMessage());
    }

    @Test
    void refusesTextThatIsNotJson() {
        SettingsException failure = assertThrows(SettingsException.class, () -> EntrySettings.read("test", "{"));
        assertEquals(1, failure.problems().size());
    }

    @Test
    void refusesDuplicateFields() {
        String duplicate = VALID.replace("\"site\":\"quito\"", "\"site\":\"quito\",\"site\":\"sfax\"");
        assertThrows(SettingsException.class, () -> EntrySettings.read("test", duplicate));
    }

    private static void assertNamed(SettingsException failure, String expected) {
        assertTrue(failure.getMessage().contains(expected), failure.getMessage());
    }
}
