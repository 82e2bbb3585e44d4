package io.banyantally.internal.usage;

import io.banyantally.internal.peer.PeerException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The value at {@code usage-flush/<zone>/<bucket>}.
 *
 * @param flush the number of flushes written so far; used in place of a time, since clocks of two VMs are not compared
 * @param lastChanged the flush in which each origin's counters last grew
 */
record ZoneFlushRecord(long flush, CounterTable counters, Map<CounterOrigin, Long> lastChanged) {

    /** Counters that did not grow for this many flushes (1 h) are removed, since they were sealed long before. */
    static final long IDLE_FLUSHES = 360;

    static final ZoneFlushRecord EMPTY = new ZoneFlushRecord(0, new CounterTable(), Map.of());

    /** Returns the record after another flush, without the idle counters of processes that are not connected. */
    ZoneFlushRecord next(CounterTable gathered, Set<CounterOrigin> connected) {
        long number = flush + 1;
        CounterTable merged = counters.copy();
        merged.mergeAll(gathered);
        Map<CounterOrigin, Long> changes = new HashMap<>();
        for (CounterOrigin origin : merged.origins()) {
            boolean grew = !merged.row(origin).equals(counters.row(origin)) || !counters.contains(origin);
            changes.put(origin, grew ? number : lastChanged.getOrDefault(origin, number));
        }
        merged.removeOrigins(origin -> !connected.contains(origin) && number - changes.get(origin) > IDLE_FLUSHES);
        changes.keySet().removeIf(origin -> !merged.contains(origin));
        return new ZoneFlushRecord(number, merged, changes);
    }

    byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packLong(flush);
            CounterCodec.pack(packer, counters);
            packer.packMapHeader(lastChanged.size());
            for (Map.Entry<CounterOrigin, Long> change : lastChanged.entrySet()) {
                CounterCodec.packOrigin(packer, change.getKey());
                packer.packLong(change.getValue());
            }
            return packer.toByteArray();
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to memory failed", impossible);
        }
    }

    static ZoneFlushRecord decode(byte[] bytes) throws PeerException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            long flush = unpacker.unpackLong();
            CounterTable counters = CounterCodec.unpack(unpacker);
            Map<CounterOrigin, Long> changes = new HashMap<>();
            int count = unpacker.unpackMapHeader();
            for (int i = 0; i < count; i++) {
                changes.put(CounterCodec.unpackOrigin(unpacker), unpacker.unpackLong());
            }
            return new ZoneFlushRecord(flush, counters, changes);
        } catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException malformed) {
            throw new PeerException("cannot decode a usage flush from " + bytes.length + " bytes", malformed);
        }
    }
}
