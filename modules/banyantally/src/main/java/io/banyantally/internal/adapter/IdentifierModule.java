package io.banyantally.internal.adapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import io.banyantally.model.AdapterName;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.platform.OrderToken;
import java.io.IOException;
import java.util.function.Function;

/** Serializes identifiers as JSON strings instead of objects with one field. */
final class IdentifierModule extends SimpleModule {

    private static final long serialVersionUID = 1L;

    IdentifierModule() {
        add(AdapterName.class, AdapterName::new);
        add(AvailabilityZone.class, AvailabilityZone::new);
        add(ClientAccountId.class, ClientAccountId::new);
        add(ModelName.class, ModelName::new);
        add(ServiceName.class, ServiceName::new);
        add(UpstreamId.class, UpstreamId::new);
        add(VmId.class, VmId::new);
        add(OrderToken.class, OrderToken::new);
    }

    private <T> void add(Class<T> type, Function<String, T> parse) {
        addSerializer(type, ToStringSerializer.instance);
        addDeserializer(type, new TextDeserializer<>(type, parse));
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
            String text = parser.getValueAsString();
            try {
                return parse.apply(text);
            } catch (IllegalArgumentException invalid) {
                return handledType()
                        .cast(context.handleWeirdStringValue(handledType(), text, "%s", invalid.getMessage()));
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public Class<T> handledType() {
            return (Class<T>) super.handledType();
        }
    }
}
