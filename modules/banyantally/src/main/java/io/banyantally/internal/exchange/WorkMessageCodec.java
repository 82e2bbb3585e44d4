package io.banyantally.internal.exchange;

import io.banyantally.internal.exchange.WorkMessage.UpstreamWork;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.placement.AccountUse;
import io.banyantally.internal.placement.LimitUse;
import io.banyantally.internal.placement.RateReport;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Encodes {@link WorkMessage} as MessagePack maps with the names of the record components. Delegates encode and decode
 * hundreds of these a second, for which a mapping by reflection takes several times as long.
 *
 * <p>Numbers that are 0 and empty optional fields are left out. Unknown fields are ignored, and absent ones read as 0 or
 * empty. A new field needs its name, a line each in the count and in the list of what is packed, and a case where it is
 * read.
 */
final class WorkMessageCodec {

    private static final Field WORK = new Field("work");
    private static final Field LIMITS = new Field("limits");
    private static final Field VMS = new Field("vms");
    private static final Field CONFIGURATION = new Field("configuration");
    private static final Field REPORTED_WINDOW = new Field("reportedWindow");

    private static final Field RATES = new Field("rates");
    private static final Field ACCOUNTS = new Field("accounts");

    private static final Field KINDS = new Field("kinds");
    private static final Field ENGINES = new Field("engines");
    private static final Field NAME = new Field("name");
    private static final Field VALUES = new Field("values");

    private static final Field ACCOUNT = new Field("account");
    private static final Field WINDOW_UNITS = new Field("windowUnits");
    private static final Field SILENT_UNITS = new Field("silentUnits");
    private static final Field SECOND_UNITS = new Field("secondUnits");
    private static final Field ASKED_UNITS = new Field("askedUnits");

    private static final Field UPSTREAM = new Field("upstream");
    private static final Field REQUESTS = new Field("requests");
    private static final Field MILLIS = new Field("millis");
    private static final Field REFUSING_MILLIS = new Field("refusingMillis");
    private static final Field WORK_TIME_PERCENT = new Field("workTimePercent");
    private static final Field WORK_TIME_AGE_MILLIS = new Field("workTimeAgeMillis");

    private static final Field STARTED_AT_MILLIS = new Field("startedAtMillis");
    private static final Field LIMIT_PER_SECOND = new Field("limitPerSecond");
    private static final Field AGE_MILLIS = new Field("ageMillis");
    private static final Field WINDOW_SENDS = new Field("windowSends");
    private static final Field SECOND_SENDS = new Field("secondSends");
    private static final Field WANTING_VMS = new Field("wantingVms");

    private WorkMessageCodec() {}

    /** Encodes a message. */
    static byte[] encode(WorkMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(2
                    + present(message.vms())
                    + present(message.configuration())
                    + present(message.reportedWindow())
                    + present(message.rates())
                    + (message.accounts().isEmpty() ? 0 : 1));
            WORK.packName(packer);
            packer.packArrayHeader(message.work().size());
            for (UpstreamWork work : message.work()) {
                pack(packer, work);
            }
            LIMITS.packName(packer);
            packer.packArrayHeader(message.limits().size());
            for (LimitUse use : message.limits()) {
                pack(packer, use);
            }
            VMS.pack(packer, message.vms());
            CONFIGURATION.pack(packer, message.configuration());
            REPORTED_WINDOW.pack(packer, message.reportedWindow());
            pack(packer, message.rates());
            packAccounts(packer, message.accounts());
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new IllegalArgumentException("cannot encode " + message, failure);
        }
    }

    private static void pack(MessagePacker packer, RateReport rates) throws IOException {
        if (!rates.isEmpty()) {
            RATES.packName(packer);
            packer.packMapHeader(2);
            KINDS.packName(packer);
            packSums(packer, rates.kinds());
            ENGINES.packName(packer);
            packSums(packer, rates.engines());
        }
    }

    private static void packSums(MessagePacker packer, List<RateReport.Sums> all) throws IOException {
        packer.packArrayHeader(all.size());
        for (RateReport.Sums sums : all) {
            packer.packMapHeader(2);
            NAME.pack(packer, sums.name());
            VALUES.packName(packer);
            packer.packArrayHeader(sums.values().size());
            for (double value : sums.values()) {
                packer.packDouble(value);
            }
        }
    }

    private static void packAccounts(MessagePacker packer, List<AccountUse> uses) throws IOException {
        if (uses.isEmpty()) {
            return;
        }
        ACCOUNTS.packName(packer);
        packer.packArrayHeader(uses.size());
        for (AccountUse use : uses) {
            packer.packMapHeader(1
                    + present(use.windowUnits())
                    + present(use.silentUnits())
                    + present(use.secondUnits())
                    + present(use.askedUnits()));
            ACCOUNT.pack(packer, use.account());
            WINDOW_UNITS.pack(packer, use.windowUnits());
            SILENT_UNITS.pack(packer, use.silentUnits());
            SECOND_UNITS.pack(packer, use.secondUnits());
            ASKED_UNITS.pack(packer, use.askedUnits());
        }
    }

    private static void pack(MessagePacker packer, UpstreamWork work) throws IOException {
        packer.packMapHeader(1
                + present(work.requests())
                + present(work.millis())
                + present(work.refusingMillis())
                + present(work.workTimePercent())
                + present(work.workTimeAgeMillis()));
        UPSTREAM.pack(packer, work.upstream());
        REQUESTS.pack(packer, work.requests());
        MILLIS.pack(packer, work.millis());
        REFUSING_MILLIS.pack(packer, work.refusingMillis());
        WORK_TIME_PERCENT.pack(packer, work.workTimePercent());
        WORK_TIME_AGE_MILLIS.pack(packer, work.workTimeAgeMillis());
    }

    private static void pack(MessagePacker packer, LimitUse use) throws IOException {
        packer.packMapHeader(1
                + present(use.startedAtMillis())
                + present(use.limitPerSecond())
                + present(use.ageMillis())
                + present(use.windowSends())
                + present(use.secondSends())
                + present(use.wantingVms()));
        UPSTREAM.pack(packer, use.upstream());
        STARTED_AT_MILLIS.pack(packer, use.startedAtMillis());
        LIMIT_PER_SECOND.pack(packer, use.limitPerSecond());
        AGE_MILLIS.pack(packer, use.ageMillis());
        WINDOW_SENDS.pack(packer, use.windowSends());
        SECOND_SENDS.pack(packer, use.secondSends());
        WANTING_VMS.pack(packer, use.wantingVms());
    }

    /**
     * Decodes a message.
     *
     * @throws PeerException if the bytes do not encode a message
     */
    static WorkMessage decode(byte[] bytes) throws PeerException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return unpackMessage(unpacker);
        } catch (IOException | MessagePackException failure) {
            throw new PeerException("cannot decode WorkMessage from " + bytes.length + " bytes", failure);
        }
    }

    private static WorkMessage unpackMessage(MessageUnpacker unpacker) throws IOException {
        Optional<List<UpstreamWork>> work = Optional.empty();
        List<LimitUse> limits = List.of();
        int vms = 0;
        Optional<Long> configuration = Optional.empty();
        Optional<Long> reportedWindow = Optional.empty();
        RateReport rates = RateReport.NONE;
        List<AccountUse> accounts = List.of();
        for (int fields = unpacker.unpackMapHeader(); fields > 0; fields--) {
            switch (unpacker.unpackString()) {
                case "work" -> work = Optional.of(unpackList(unpacker, WorkMessageCodec::unpackWork));
                case "limits" -> limits = unpackList(unpacker, WorkMessageCodec::unpackUse);
                case "vms" -> vms = unpackInt(unpacker);
                case "configuration" -> configuration = unpackOptional(unpacker);
                case "reportedWindow" -> reportedWindow = unpackOptional(unpacker);
                case "rates" -> rates = unpackRates(unpacker);
                case "accounts" -> accounts = unpackList(unpacker, WorkMessageCodec::unpackAccount);
                default -> unpacker.skipValue();
            }
        }
        return new WorkMessage(
                work.orElseThrow(() -> new IOException("the message has no work")),
                limits,
                vms,
                configuration,
                reportedWindow,
                rates,
                accounts);
    }

    private static RateReport unpackRates(MessageUnpacker unpacker) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return RateReport.NONE;
        }
        List<RateReport.Sums> kinds = List.of();
        List<RateReport.Sums> engines = List.of();
        for (int fields = unpacker.unpackMapHeader(); fields > 0; fields--) {
            switch (unpacker.unpackString()) {
                case "kinds" -> kinds = unpackList(unpacker, WorkMessageCodec::unpackSums);
                case "engines" -> engines = unpackList(unpacker, WorkMessageCodec::unpackSums);
                default -> unpacker.skipValue();
            }
        }
        return new RateReport(kinds, engines);
    }

    private static RateReport.Sums unpackSums(MessageUnpacker unpacker) throws IOException {
        String name = "";
        List<Double> values = List.of();
        for (int fields = unpacker.unpackMapHeader(); fields > 0; fields--) {
            switch (unpacker.unpackString()) {
                case "name" -> name = unpacker.unpackString();
                case "values" -> values = unpackList(unpacker, WorkMessageCodec::unpackDouble);
                default -> unpacker.skipValue();
            }
        }
        return new RateReport.Sums(name, values);
    }

    private static AccountUse unpackAccount(MessageUnpacker unpacker) throws IOException {
        String account = "";
        long windowUnits = 0;
        long silentUnits = 0;
        long secondUnits = 0;
        long askedUnits = 0;
        for (int fields = unpacker.unpackMapHeader(); fields > 0; fields--) {
            switch (unpacker.unpackString()) {
                case "account" -> account = unpacker.unpackString();
                case "windowUnits" -> windowUnits = unpackLong(unpacker);
                case "silentUnits" -> silentUnits = unpackLong(unpacker);
                case "secondUnits" -> secondUnits = unpackLong(unpacker);
                case "askedUnits" -> askedUnits = unpackLong(unpacker);
                default -> unpacker.skipValue();
            }
        }
        return new AccountUse(account, windowUnits, silentUnits, secondUnits, askedUnits);
    }

    private static UpstreamWork unpackWork(MessageUnpacker unpacker) throws IOException {
        String upstream = "";
        int requests = 0;
        double millis = 0;
        long refusingMillis = 0;
        int workTimePercent = 0;
        long workTimeAgeMillis = 0;
        for (int fields = unpacker.unpackMapHeader(); fields > 0; fields--) {
            switch (unpacker.unpackString()) {
                case "upstream" -> upstream = unpacker.unpackString();
                case "requests" -> requests = unpackInt(unpacker);
                case "millis" -> millis = unpackDouble(unpacker);
                case "refusingMillis" -> refusingMillis = unpackLong(unpacker);
                case "workTimePercent" -> workTimePercent = unpackInt(unpacker);
                case "workTimeAgeMillis" -> workTimeAgeMillis = unpackLong(unpacker);
                default -> unpacker.skipValue();
            }
        }
        return new UpstreamWork(upstream, requests, millis, refusingMillis, workTimePercent, workTimeAgeMillis);
    }

    private static LimitUse unpackUse(MessageUnpacker unpacker) throws IOException {
        String upstream = "";
        long startedAtMillis = 0;
        double limitPerSecond = 0;
        long ageMillis = 0;
        int windowSends = 0;
        int secondSends = 0;
        int wantingVms = 0;
        for (int fields = unpacker.unpackMapHeader(); fields > 0; fields--) {
            switch (unpacker.unpackString()) {
                case "upstream" -> upstream = unpacker.unpackString();
                case "startedAtMillis" -> startedAtMillis = unpackLong(unpacker);
                case "limitPerSecond" -> limitPerSecond = unpackDouble(unpacker);
                case "ageMillis" -> ageMillis = unpackLong(unpacker);
                case "windowSends" -> windowSends = unpackInt(unpacker);
                case "secondSends" -> secondSends = unpackInt(unpacker);
                case "wantingVms" -> wantingVms = unpackInt(unpacker);
                default -> unpacker.skipValue();
            }
        }
        return new LimitUse(upstream, startedAtMillis, limitPerSecond, ageMillis, windowSends, secondSends, wantingVms);
    }

    private static <T> List<T> unpackList(MessageUnpacker unpacker, ElementReader<T> reader) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return List.of();
        }
        List<T> elements = new ArrayList<>();
        for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
            elements.add(reader.read(unpacker));
        }
        return elements;
    }

    private static int unpackInt(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? 0 : unpacker.unpackInt();
    }

    private static long unpackLong(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? 0 : unpacker.unpackLong();
    }

    private static double unpackDouble(MessageUnpacker unpacker) throws IOException {
        if (unpacker.getNextFormat().getValueType() == ValueType.FLOAT) {
            return unpacker.unpackDouble();
        }
        return unpackLong(unpacker);
    }

    private static Optional<Long> unpackOptional(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackLong());
    }

    private static int present(long number) {
        return number == 0 ? 0 : 1;
    }

    private static int present(double number) {
        return number == 0 ? 0 : 1;
    }

    private static int present(RateReport rates) {
        return rates.isEmpty() ? 0 : 1;
    }

    private static int present(Optional<Long> number) {
        return number.isPresent() ? 1 : 0;
    }

    private interface ElementReader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    /** A field of a map, with its name encoded once. */
    private static final class Field {

        private final byte[] name;

        Field(String name) {
            this.name = name.getBytes(StandardCharsets.UTF_8);
        }

        void packName(MessagePacker packer) throws IOException {
            packer.packRawStringHeader(name.length);
            packer.writePayload(name);
        }

        void pack(MessagePacker packer, String text) throws IOException {
            packName(packer);
            packer.packString(text);
        }

        void pack(MessagePacker packer, long number) throws IOException {
            if (number != 0) {
                packName(packer);
                packer.packLong(number);
            }
        }

        void pack(MessagePacker packer, double number) throws IOException {
            if (number != 0) {
                packName(packer);
                packer.packDouble(number);
            }
        }

        void pack(MessagePacker packer, Optional<Long> number) throws IOException {
            if (number.isPresent()) {
                packName(packer);
                packer.packLong(number.get());
            }
        }
    }
}
