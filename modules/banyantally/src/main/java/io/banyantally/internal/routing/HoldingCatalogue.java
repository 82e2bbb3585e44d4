package io.banyantally.internal.routing;

import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Shows the held upstreams of another catalogue as leaving. Gives the same list while nothing changes. */
public final class HoldingCatalogue implements UpstreamCatalogue {

    private final UpstreamCatalogue listed;
    private final HoldTable holds;
    private final Map<ServiceName, View> views = new ConcurrentHashMap<>();

    /** Creates a view of a catalogue. */
    public HoldingCatalogue(UpstreamCatalogue listed, HoldTable holds) {
        this.listed = listed;
        this.holds = holds;
    }

    private record View(List<KnownUpstream> source, Set<UpstreamId> held, List<KnownUpstream> upstreams) {}

    @Override
    @SuppressWarnings("ReferenceEquality") // Both sources give the same object while nothing changes.
    public List<KnownUpstream> upstreams(ServiceName service) {
        List<KnownUpstream> source = listed.upstreams(service);
        Set<UpstreamId> held = holds.held();
        View view = views.get(service);
        if (view == null || view.source() != source || view.held() != held) {
            view = new View(source, held, mark(source, held));
            views.put(service, view);
        }
        return view.upstreams();
    }

    private static List<KnownUpstream> mark(List<KnownUpstream> source, Set<UpstreamId> held) {
        return source.stream()
                .map(upstream -> held.contains(upstream.id()) ? upstream.asLeaving() : upstream)
                .toList();
    }
}
