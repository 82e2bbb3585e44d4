package io.banyantally.standins.platform;

import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmState;
import io.banyantally.standins.BadRequestException;
import io.banyantally.standins.StandInExchange;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** The VM directory. A change becomes visible to readers after a configurable lag. */
final class DirectoryHandler {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<String, DirectoryEntry> current = new LinkedHashMap<>();
    private final Map<String, DirectoryEntry> visible = new LinkedHashMap<>();
    private long lagMillis;

    DirectoryHandler(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    Answer handle(StandInExchange exchange) throws IOException {
        if (exchange.method().equals("GET")) {
            return Answer.of(list());
        }
        if (exchange.path().equals("/directory")) {
            DirectoryEntry entry = exchange.body(DirectoryEntry.class);
            change(entry.id(), Optional.of(entry));
            return Answer.of(entry);
        }
        String id = exchange.requiredParameter("id");
        switch (exchange.path()) {
            case "/directory/leaving" -> replace(id, DirectoryHandler::leaving);
            case "/directory/remove" -> remove(id);
            default ->
                throw new BadRequestException("path " + exchange.path()
                        + " is unknown; use /directory, /directory/leaving or /directory/remove");
        }
        return Answer.of(id);
    }

    /** Removes a VM. */
    void remove(String id) {
        change(id, Optional.empty());
    }

    /** Sets how long a change stays invisible to readers. */
    synchronized void setLagMillis(long millis) {
        lagMillis = millis;
    }

    synchronized List<DirectoryEntry> list() {
        long now = System.nanoTime();
        while (!pending.isEmpty() && now - pending.peekFirst().at() >= lagMillis * NANOS_PER_MILLI) {
            Change change = pending.removeFirst();
            apply(visible, change.id(), change.entry());
        }
        return List.copyOf(visible.values());
    }

    private synchronized void replace(String id, UnaryOperator<DirectoryEntry> operator) throws BadRequestException {
        DirectoryEntry entry = current.get(id);
        if (entry == null) {
            throw new BadRequestException("VM '" + id + "' is not in the directory; post it to /directory first");
        }
        change(id, Optional.of(operator.apply(entry)));
    }

    private synchronized void change(String id, Optional<DirectoryEntry> entry) {
        apply(current, id, entry);
        pending.addLast(new Change(id, entry, System.nanoTime()));
    }

    private static void apply(Map<String, DirectoryEntry> entries, String id, Optional<DirectoryEntry> entry) {
        if (entry.isPresent()) {
            entries.put(id, entry.get());
        } else {
            entries.remove(id);
        }
    }

    private static DirectoryEntry leaving(DirectoryEntry entry) {
        return new DirectoryEntry(
                entry.id(),
                entry.kind(),
                entry.zone(),
                entry.service(),
                entry.address(),
                VmState.LEAVING,
                entry.cheap());
    }

    private record Change(String id, Optional<DirectoryEntry> entry, long at) {}
}
