package io.banyantally.internal.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes frames: a 4-byte length, then a MessagePack array of kind, request id, topic and payload. */
final class FrameCodec {

    private static final int FIELDS = 4;

    /** The maximum payload plus 1,024 bytes for the other fields. */
    private static final int MAXIMUM_FRAME_BYTES = PeerNetwork.MAXIMUM_PAYLOAD_BYTES + 1_024;

    private FrameCodec() {}

    static void write(DataOutputStream output, Frame frame) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELDS);
            packer.packInt(frame.kind().code());
            packer.packLong(frame.requestId());
            packer.packString(frame.topic());
            packer.packBinaryHeader(frame.payload().length);
            packer.writePayload(frame.payload());
            byte[] bytes = packer.toByteArray();
            output.writeInt(bytes.length);
            output.write(bytes);
        }
    }

    static Frame read(DataInputStream input) throws IOException {
        int length = input.readInt();
        if (length < 0 || length > MAXIMUM_FRAME_BYTES) {
            throw new IOException("frame of " + length + " bytes; at most " + MAXIMUM_FRAME_BYTES + " are allowed");
        }
        byte[] bytes = new byte[length];
        input.readFully(bytes);
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int fields = unpacker.unpackArrayHeader();
            if (fields != FIELDS) {
                throw new IOException("frame with " + fields + " fields; " + FIELDS + " are expected");
            }
            FrameKind kind = FrameKind.ofCode(unpacker.unpackInt());
            long requestId = unpacker.unpackLong();
            String topic = unpacker.unpackString();
            byte[] payload = unpacker.readPayload(unpacker.unpackBinaryHeader());
            return new Frame(kind, requestId, topic, payload);
        } catch (MessagePackException malformed) {
            throw new IOException("malformed frame of " + length + " bytes", malformed);
        }
    }
}
