package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.Configuration;
import io.banyantally.internal.configuration.ConfigurationChange;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ServiceName;
import java.util.Map;
import java.util.function.Function;

/**
 * What differs between templates and client account parameters.
 *
 * @param collection the name in the path
 */
record EntryKind<I extends Comparable<I>, T>(
        String collection,
        Function<String, I> name,
        Function<Configuration, Map<I, T>> entries,
        DocumentReader<I, T> read,
        Function<T, ObjectNode> write,
        Function<T, ConfigurationChange> put) {

    static EntryKind<ServiceName, ServiceTemplate> services() {
        return new EntryKind<>(
                "services",
                ServiceName::new,
                Configuration::services,
                Documents::service,
                Documents::write,
                ConfigurationChange::put);
    }

    static EntryKind<ClientAccountId, ClientAccountParameters> accounts() {
        return new EntryKind<>(
                "accounts",
                ClientAccountId::new,
                Configuration::accounts,
                Documents::account,
                Documents::write,
                ConfigurationChange::put);
    }

    /** Reads an entry from its document. */
    @FunctionalInterface
    interface DocumentReader<I, T> {

        T read(I name, JsonNode document) throws InvalidDocumentException;
    }
}
