package io.banyantally.standins.load;

import io.banyantally.standins.engine.PromptTokens;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/** Generates texts from seeds and caches those that requests share. */
final class PromptTexts {

    private static final String[] WORDS = {
        "hinge", "ramp", "floor", "axle", "tyre", "partition", "vent", "cell", "pack", "buoy", "light", "charge",
        "voltage", "current", "log", "check", "worn", "replaced", "within", "limit", "date", "station", "report", "seal"
    };

    private static final int MANUAL_TOKENS = 16_000;
    private static final long MANUAL_SEED = 7_001;

    private final long seed;
    private final double scale;
    private final Map<Long, String> documents = new ConcurrentHashMap<>();

    PromptTexts(long seed, double scale) {
        this.seed = seed;
        this.scale = scale;
    }

    /** Returns the manual that long prompts of a deployment share. */
    String manual() {
        int tokens = (int) Math.max(1, Math.round(MANUAL_TOKENS * scale));
        return documents.computeIfAbsent(MANUAL_SEED, documentSeed -> text(documentSeed, tokens));
    }

    /** Returns a history or log; the same number always yields the same text. */
    String document(long number, TokenRange length) {
        return documents.computeIfAbsent(seed * 31 + number, documentSeed -> {
            SplittableRandom random = new SplittableRandom(documentSeed);
            return text(documentSeed, length.draw(random, scale));
        });
    }

    /** Returns a text with a length of {@code tokens}. */
    static String text(long textSeed, int tokens) {
        SplittableRandom random = new SplittableRandom(textSeed);
        int characters = tokens * PromptTokens.CHARACTERS_PER_TOKEN;
        StringBuilder text = new StringBuilder(characters);
        while (text.length() < characters) {
            text.append(WORDS[random.nextInt(WORDS.length)]).append(' ');
        }
        text.setLength(characters);
        return text.toString();
    }
}
