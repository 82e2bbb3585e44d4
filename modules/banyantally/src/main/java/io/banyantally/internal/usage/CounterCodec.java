package io.banyantally.internal.usage;

import io.banyantally.internal.peer.PeerException;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.UsageFigures;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes counters compactly, since they are sent every few milliseconds: account names once, then for each origin the
 * index of the account and three numbers of 1 to 9 bytes.
 */
final class CounterCodec {

    private CounterCodec() {}

    static byte[] encode(CounterTable table) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(packer, table);
            return packer.toByteArray();
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to memory failed", impossible);
        }
    }

    static CounterTable decode(byte[] bytes) throws PeerException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return unpack(unpacker);
        } catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException malformed) {
            throw new PeerException("cannot decode usage counters from " + bytes.length + " bytes", malformed);
        }
    }

    static void pack(MessagePacker packer, CounterTable table) throws IOException {
        Map<ClientAccountId, Integer> indexes = new HashMap<>();
        packer.packArrayHeader(table.accounts().size());
        for (ClientAccountId account : table.accounts()) {
            indexes.put(account, indexes.size());
            packer.packString(account.value());
        }
        packer.packArrayHeader(table.origins().size());
        for (CounterOrigin origin : table.origins()) {
            packOrigin(packer, origin);
            Map<ClientAccountId, UsageFigures> row = table.row(origin);
            packer.packArrayHeader(row.size());
            for (Map.Entry<ClientAccountId, UsageFigures> counter : row.entrySet()) {
                packer.packInt(indexes.get(counter.getKey()));
                packFigures(packer, counter.getValue());
            }
        }
    }

    static CounterTable unpack(MessageUnpacker unpacker) throws IOException {
        List<ClientAccountId> accounts = new ArrayList<>();
        int accountCount = unpacker.unpackArrayHeader();
        for (int i = 0; i < accountCount; i++) {
            accounts.add(new ClientAccountId(unpacker.unpackString()));
        }
        CounterTable table = new CounterTable();
        int originCount = unpacker.unpackArrayHeader();
        for (int i = 0; i < originCount; i++) {
            CounterOrigin origin = unpackOrigin(unpacker);
            table.addOrigin(origin);
            int counters = unpacker.unpackArrayHeader();
            for (int j = 0; j < counters; j++) {
                table.merge(origin, accounts.get(unpacker.unpackInt()), unpackFigures(unpacker));
            }
        }
        return table;
    }

    static void packOrigin(MessagePacker packer, CounterOrigin origin) throws IOException {
        packer.packString(origin.vm().value());
        packer.packLong(origin.incarnation().value());
    }

    static CounterOrigin unpackOrigin(MessageUnpacker unpacker) throws IOException {
        VmId vm = new VmId(unpacker.unpackString());
        return new CounterOrigin(vm, new Incarnation(unpacker.unpackLong()));
    }

    static void packFigures(MessagePacker packer, UsageFigures figures) throws IOException {
        packer.packLong(figures.promptTokens());
        packer.packLong(figures.outputTokens());
        packer.packLong(figures.calls());
    }

    static UsageFigures unpackFigures(MessageUnpacker unpacker) throws IOException {
        long promptTokens = unpacker.unpackLong();
        long outputTokens = unpacker.unpackLong();
        return new UsageFigures(promptTokens, outputTokens, unpacker.unpackLong());
    }
}
