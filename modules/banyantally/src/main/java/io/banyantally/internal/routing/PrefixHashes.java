package io.banyantally.internal.routing;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/** Hashes of the prefixes of a prompt that end at a block boundary, as engines use them in cache events. */
public final class PrefixHashes {
    /** Prompt bytes in a KV cache block: 2,000 tokens of about 4 bytes each. */
    public static final int BLOCK_BYTES = 8_000;

    /** Tokens in a KV cache block. */
    public static final int BLOCK_TOKENS = 2_000;

    private static final int CRC_BITS = 32;

    private PrefixHashes() {}

    /**
     * Returns one hash for each whole block of the prompt; each covers the prompt up to the end of its block. A hash
     * combines two checksums. Routing needs few accidental collisions but no resistance to deliberate ones, since
     * engines compare the contents.
     */
    public static long[] of(String prompt) {
        if (prompt.length() * 3L < BLOCK_BYTES) {
            return new long[0];
        }
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        long[] hashes = new long[bytes.length / BLOCK_BYTES];
        CRC32 high = new CRC32();
        CRC32C low = new CRC32C();
        for (int block = 0; block < hashes.length; block++) {
            high.update(bytes, block * BLOCK_BYTES, BLOCK_BYTES);
            low.update(bytes, block * BLOCK_BYTES, BLOCK_BYTES);
            hashes[block] = high.getValue() << CRC_BITS | low.getValue();
        }
        return hashes;
    }
}
