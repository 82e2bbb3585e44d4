package io.banyantally.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * The text that every engine stand-in generates for a prompt. It depends on the prompt alone, so a client can verify an
 * answer, also one that a second engine resumed.
 */
public final class ExpectedText {

    /** Optional part of a prompt that decides the text, so that it does not depend on how a chat becomes a prompt. */
    private static final Pattern MARKER = Pattern.compile("#answer-seed=([0-9a-f]{1,16})#");

    private static final long SEED_INCREMENT = 0x9E3779B97F4A7C15L;
    private static final int VOCABULARY_SIZE = 1 << 20;

    private final long seed;

    private ExpectedText(long seed) {
        this.seed = seed;
    }

    /** Returns the text for a prompt, derived from its last marker or, without one, from the whole prompt. */
    public static ExpectedText ofPrompt(String prompt) {
        Matcher matcher = MARKER.matcher(prompt);
        return matcher.results()
                .reduce((first, second) -> second)
                .map(MatchResult::group)
                .map(ExpectedText::ofText)
                .orElseGet(() -> ofText(prompt));
    }

    /** Returns a marker to put at the end of a prompt. */
    public static String marker(long answerSeed) {
        return "#answer-seed=" + Long.toHexString(answerSeed) + "#";
    }

    private static ExpectedText ofText(String text) {
        CRC32C checksum = new CRC32C();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return new ExpectedText(checksum.getValue());
    }

    /** Returns the token at an index, from 0 on. */
    public String token(int index) {
        int word = new SplittableRandom(seed + SEED_INCREMENT * (index + 1)).nextInt(VOCABULARY_SIZE);
        return "w" + Integer.toString(word, Character.MAX_RADIX) + " ";
    }

    /** Returns the text of the first {@code count} tokens. */
    public String text(int count) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < count; index++) {
            text.append(token(index));
        }
        return text.toString();
    }
}
