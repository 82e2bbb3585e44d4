package io.banyantally.internal.exchange;

import io.banyantally.internal.peer.PeerException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * The configuration of a peer.
 *
 * @param version the version in force; absent if the peer has none
 * @param compressed the document in zlib format; absent if the asker has it, or the peer can't send it now
 * @param reliable whether the peer has compared its version with those of other VMs, so that the asker may rely on it
 */
record ConfigurationAnswer(Optional<Long> version, Optional<byte[]> compressed, boolean reliable) {

    /** Twice what the store accepts; protects the memory of the asker. */
    static final int MAXIMUM_DOCUMENT_BYTES = 2 * 1024 * 1024;

    static final ConfigurationAnswer NONE = new ConfigurationAnswer(Optional.empty(), Optional.empty(), false);

    static byte[] compress(byte[] document) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream output = new DeflaterOutputStream(compressed)) {
            output.write(document);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return compressed.toByteArray();
    }

    /** Returns the document; empty if the answer has none. */
    Optional<byte[]> document() throws PeerException {
        if (compressed.isEmpty()) {
            return Optional.empty();
        }
        try (InflaterInputStream input = new InflaterInputStream(new ByteArrayInputStream(compressed.get()))) {
            byte[] document = input.readNBytes(MAXIMUM_DOCUMENT_BYTES + 1);
            if (document.length > MAXIMUM_DOCUMENT_BYTES) {
                throw new PeerException("a configuration of more than " + MAXIMUM_DOCUMENT_BYTES + " bytes");
            }
            return Optional.of(document);
        } catch (IOException malformed) {
            throw new PeerException("a configuration can't be decompressed", malformed);
        }
    }
}
