package io.banyantally.internal.deployment;

import io.banyantally.deployment.DeploymentConfiguration;
import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.UnreadableDocumentException;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
    private volatile Optional<ActiveConfiguration> current = Optional.empty();

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
        return current;
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
            adopt(reader.configuration(item.value()), item);
        } catch (UnreadableDocumentException unreadable) {
            LOG.error(
                    "configuration_unreadable",
                    unreadable,
                    EventField.of("revision", item.versioned().revision()),
                    EventField.of("kept_version", versionText()));
        }
    }

    private void adopt(DeploymentConfiguration document, StoreItem item) {
        boolean newer = current.isEmpty() || document.version() > current.get().version();
        LOG.info(
                newer ? "configuration_adopted" : "configuration_ignored",
                EventField.of("version", document.version()),
                EventField.of("former", versionText()),
                EventField.of("revision", item.versioned().revision()),
                EventField.of("routes", document.routes().size()),
                EventField.of("accounts", document.accounts().size()));
        if (newer) {
            ActiveConfiguration newConfiguration = new ActiveConfiguration(document);
            current = Optional.of(newConfiguration);
            observers.forEach(observer -> observer.accept(newConfiguration));
        }
    }

    private String versionText() {
        return current.map(active -> Long.toString(active.version())).orElse("none");
    }
}
