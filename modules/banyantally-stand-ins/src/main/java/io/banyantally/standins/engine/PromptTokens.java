package io.banyantally.standins.engine;

import java.nio.charset.StandardCharsets;

/** Estimates the tokens of a prompt from its length. */
public final class PromptTokens {

    /** English text has about four characters per token. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    private PromptTokens() {}

    /** Returns the estimated tokens of a prompt from its UTF-8 bytes, as the prefix hashes do. */
    public static int count(String prompt) {
        int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
        return (bytes + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }
}
