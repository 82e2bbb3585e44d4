package io.banyantally.internal.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import io.banyantally.model.AdapterName;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.KeyId;
import io.banyantally.model.ModelName;
import io.banyantally.model.Revision;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.function.Function;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Encodes and decodes the stored values as JSON, large ones compressed with gzip. Unknown fields are ignored, so that
 * two versions of the system can share a configuration during a rolling update.
 */
final class StoredFormat {

    /** For smaller values, compression costs more than it saves. */
    private static final int COMPRESSION_THRESHOLD_BYTES = 16_000;

    private static final byte GZIP_FIRST_BYTE = 0x1f;
    private static final ObjectMapper MAPPER = mapper();

    private StoredFormat() {}

    static byte[] encode(Object value) {
        try {
            byte[] plain = MAPPER.writeValueAsBytes(value);
            return plain.length < COMPRESSION_THRESHOLD_BYTES ? plain : compress(plain);
        } catch (IOException failure) {
            throw new IllegalArgumentException(
                    "cannot encode a " + value.getClass().getSimpleName(), failure);
        }
    }

    private static byte[] compress(byte[] plain) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(plain.length / 2);
        try (OutputStream compressed = new GZIPOutputStream(bytes)) {
            compressed.write(plain);
        }
        return bytes.toByteArray();
    }

    static Manifest manifest(byte[] bytes) throws ConfigurationDamagedException {
        return decode(bytes, Manifest.class);
    }

    static Bucket bucket(byte[] bytes) throws ConfigurationDamagedException {
        return decode(bytes, Bucket.class);
    }

    private static <T> T decode(byte[] bytes, Class<T> type) throws ConfigurationDamagedException {
        boolean compressed = bytes.length > 0 && bytes[0] == GZIP_FIRST_BYTE;
        try (InputStream stored = new ByteArrayInputStream(bytes);
                InputStream plain = compressed ? new GZIPInputStream(stored) : stored) {
            return MAPPER.readValue(plain, type);
        } catch (IOException failure) {
            throw new ConfigurationDamagedException(
                    "a " + type.getSimpleName() + " of " + bytes.length + " bytes can't be decoded", failure);
        }
    }

    private static ObjectMapper mapper() {
        SimpleModule identifiers = new SimpleModule();
        registerTextType(identifiers, VmId.class, VmId::new);
        registerTextType(identifiers, Incarnation.class, Incarnation::parse);
        registerTextType(identifiers, ServiceName.class, ServiceName::plain);
        registerTextType(identifiers, ClientAccountId.class, ClientAccountId::plain);
        registerTextType(identifiers, KeyId.class, KeyId::new);
        registerTextType(identifiers, ModelName.class, ModelName::new);
        registerTextType(identifiers, AdapterName.class, AdapterName::new);
        registerTextType(identifiers, Revision.class, number -> new Revision(Long.parseLong(number)));
        return new ObjectMapper()
                .registerModule(identifiers)
                .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    }

    private static <T> void registerTextType(SimpleModule module, Class<T> type, Function<String, T> parse) {
        module.addSerializer(new ToStringSerializer(type));
        module.addDeserializer(type, new TextDeserializer<>(type, parse));
    }

    private static final class TextDeserializer<T> extends StdDeserializer<T> {

        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> parse;

        TextDeserializer(Class<T> type, Function<String, T> parse) {
            super(type);
            this.parse = parse;
        }

        @Override
        public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return parse.apply(parser.getValueAsString());
        }
    }
}
