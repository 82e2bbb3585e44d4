package io.banyantally.standins.engine;

import java.nio.charset.StandardCharsets;

/** Counts the tokens of a prompt. */
public final class PromptTokens {

    /** English text has about four characters a token. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    private PromptTokens() {}

    /** Returns the tokens of a prompt, by its bytes, as the prefix hashes count them. */
    public static int count(String prompt) {
        int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
        return (bytes + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }
}
