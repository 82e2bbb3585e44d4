package io.banyantally.internal.deployment;

import io.banyantally.deployment.DeploymentConfiguration;
import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.UnreadableDocumentException;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The newest configuration that this process has read. It never reverts to an older version: a delayed response of the
 * store or a deleted document leaves the current one in force.
 */
public final class ConfigurationHolder implements PrefixListener {

    private static final EventLog LOG = EventLog.of(ConfigurationHolder.class);

    private final StoreKey key;
    private final DocumentReader reader;
    private final List<Consumer<ActiveConfiguration>> observers = new ArrayList<>();
    private volatile Optional<Adopted> current = Optional.empty();

    /** Creates a holder without a configuration. */
    public ConfigurationHolder(StoreKey key, DocumentReader reader) {
        this.key = key;
        this.reader = reader;
    }

    /** Calls an observer after each change; register it before the first listing. */
    public void observe(Consumer<ActiveConfiguration> observer) {
        observers.add(observer);
    }

    /** Returns the configuration in force; empty until one was read. */
    public Optional<ActiveConfiguration> current() {
        return current.map(Adopted::configuration);
    }

    /** Returns the configuration in force with its document; empty until one was read. */
    public Optional<Adopted> adopted() {
        return current;
    }

    /** Returns the newest version in a listing; empty if it has none that can be read. */
    public OptionalLong version(StoreListing listing) {
        OptionalLong newest = OptionalLong.empty();
        for (StoreItem item : listing.items()) {
            if (item.key().equals(key)) {
                try {
                    newest = OptionalLong.of(reader.configuration(item.value()).version());
                } catch (UnreadableDocumentException unreadable) {
                    // It is logged when the listing is applied.
                }
            }
        }
        return newest;
    }

    /** Applies a document that a peer has in force, unless its version is already known. */
    public void readFromPeer(VmId peer, byte[] document) {
        try {
            adopt(reader.configuration(document), document, EventField.of("peer", peer));
        } catch (UnreadableDocumentException unreadable) {
            LOG.error("configuration_unreadable", unreadable, EventField.of("peer", peer));
        }
    }

    @Override
    public void listed(StoreListing listing) {
        listing.items().forEach(this::read);
    }

    @Override
    public void changed(StoreChanges changes) {
        for (StoreChange change : changes.changes()) {
            if (change instanceof StoreChange.Written written) {
                read(written.item());
            }
        }
    }

    private void read(StoreItem item) {
        if (!item.key().equals(key)) {
            return;
        }
        try {
            byte[] document = item.value();
            adopt(
                    reader.configuration(document),
                    document,
                    EventField.of("revision", item.versioned().revision()));
        } catch (UnreadableDocumentException unreadable) {
            LOG.error(
                    "configuration_unreadable",
                    unreadable,
                    EventField.of("revision", item.versioned().revision()),
                    EventField.of("kept_version", versionText()));
        }
    }

    private synchronized void adopt(DeploymentConfiguration configuration, byte[] document, EventField source) {
        boolean newer = current.isEmpty()
                || configuration.version() > current.get().configuration().version();
        LOG.info(
                newer ? "configuration_adopted" : "configuration_ignored",
                EventField.of("version", configuration.version()),
                EventField.of("former", versionText()),
                source,
                EventField.of("routes", configuration.routes().size()),
                EventField.of("accounts", configuration.accounts().size()));
        if (newer) {
            ActiveConfiguration newConfiguration = new ActiveConfiguration(configuration);
            current = Optional.of(new Adopted(newConfiguration, document));
            observers.forEach(observer -> observer.accept(newConfiguration));
        }
    }

    private String versionText() {
        return current().map(active -> Long.toString(active.version())).orElse("none");
    }

    /**
     * A configuration in force.
     *
     * @param document the operator's document
     */
    public record Adopted(ActiveConfiguration configuration, byte[] document) {}
}
