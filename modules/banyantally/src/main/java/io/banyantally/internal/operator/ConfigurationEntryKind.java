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
 * A kind of configuration entry that operators edit: service templates or client account parameters.
 *
 * @param collection the path segment after {@code /operator/v1/}
 * @param name parses the name of an entry
 * @param entries returns the entries of a configuration
 * @param read parses an entry's document
 * @param write writes an entry's document
 * @param put creates the change that adds or replaces an entry
 */
record ConfigurationEntryKind<I extends Comparable<I>, T>(
        String collection,
        Function<String, I> name,
        Function<Configuration, Map<I, T>> entries,
        DocumentReader<I, T> read,
        Function<T, ObjectNode> write,
        Function<T, ConfigurationChange> put) {

    static ConfigurationEntryKind<ServiceName, ServiceTemplate> services() {
        return new ConfigurationEntryKind<>(
                "services",
                ServiceName::plain,
                Configuration::services,
                ConfigurationDocuments::service,
                ConfigurationDocuments::write,
                ConfigurationChange::put);
    }

    static ConfigurationEntryKind<ClientAccountId, ClientAccountParameters> accounts() {
        return new ConfigurationEntryKind<>(
                "accounts",
                ClientAccountId::plain,
                Configuration::accounts,
                ConfigurationDocuments::account,
                ConfigurationDocuments::write,
                ConfigurationChange::put);
    }

    /** Parses an entry from its document. */
    @FunctionalInterface
    interface DocumentReader<I, T> {

        T read(I name, JsonNode document) throws InvalidDocumentException;
    }
}
