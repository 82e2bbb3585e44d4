package io.banyantally.internal.routing;

import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Marks the held upstreams of another catalogue as leaving. Returns the same list instance while nothing changes. */
public final class HoldingCatalogue implements UpstreamCatalogue {

    private final UpstreamCatalogue delegate;
    private final HoldTable holds;
    private final Map<ServiceName, View> views = new ConcurrentHashMap<>();

    /** Creates a catalogue over {@code delegate}. */
    public HoldingCatalogue(UpstreamCatalogue delegate, HoldTable holds) {
        this.delegate = delegate;
        this.holds = holds;
    }

    private record View(List<KnownUpstream> source, Set<UpstreamId> held, List<KnownUpstream> upstreams) {}

    @Override
    @SuppressWarnings("ReferenceEquality") // Both sources return the same instance while nothing changes.
    public List<KnownUpstream> upstreams(ServiceName service) {
        List<KnownUpstream> source = delegate.upstreams(service);
        Set<UpstreamId> held = holds.heldUpstreams();
        View view = views.get(service);
        if (view == null || view.source() != source || view.held() != held) {
            view = new View(source, held, markHeld(source, held));
            views.put(service, view);
        }
        return view.upstreams();
    }

    private static List<KnownUpstream> markHeld(List<KnownUpstream> source, Set<UpstreamId> held) {
        return source.stream()
                .map(upstream -> held.contains(upstream.id()) ? upstream.asLeaving() : upstream)
                .toList();
    }
}
