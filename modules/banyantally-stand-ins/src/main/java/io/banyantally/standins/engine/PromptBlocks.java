package io.banyantally.standins.engine;

import java.util.ArrayList;
import java.util.List;

/** Counts the tokens of a prompt and hashes its prefixes at block boundaries. */
public final class PromptBlocks {

    /** English text has about four characters a token. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    private static final int BLOCK_CHARACTERS = EngineCosts.BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

    // FNV-1a, 64 bits, over UTF-16 units: it goes on from block to block without starting again.
    private static final long HASH_START = 0xCBF29CE484222325L;
    private static final long HASH_FACTOR = 0x100000001B3L;

    private PromptBlocks() {}

    /** Returns the tokens of a prompt. */
    public static int tokens(String prompt) {
        return (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /** Returns the hashes of the prefixes that end at a block boundary, shortest first. */
    public static List<Long> prefixHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        long hash = HASH_START;
        for (int index = 0; index < prompt.length(); index++) {
            hash = (hash ^ prompt.charAt(index)) * HASH_FACTOR;
            if ((index + 1) % BLOCK_CHARACTERS == 0) {
                hashes.add(hash);
            }
        }
        return hashes;
    }
}
