package io.banyantally.internal.wiring;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.banyantally.internal.configuration.ConfigurationReplica;
import io.banyantally.internal.membership.CallerAddress;
import io.banyantally.internal.membership.Membership;
import io.banyantally.internal.operator.OperatorHandler;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.internal.routing.UpstreamCatalogue;
import io.banyantally.internal.timeline.EventList;
import io.banyantally.internal.timeline.TimelineGatherer;
import io.banyantally.model.ServiceName;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Optional;
import java.util.TreeSet;

/** Provides the sections of the operators' status: VMs, upstreams and the event time line. */
@Singleton
final class StatusSections {

    private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    private final Peer self;
    private final PeerNetwork network;
    private final Membership membership;
    private final ConfigurationReplica configuration;
    private final UpstreamCatalogue catalogue;
    private final TimelineGatherer timeline;

    @Inject
    StatusSections(
            Peer self,
            PeerNetwork network,
            Membership membership,
            ConfigurationReplica configuration,
            UpstreamCatalogue catalogue,
            TimelineGatherer timeline) {
        this.self = self;
        this.network = network;
        this.membership = membership;
        this.configuration = configuration;
        this.catalogue = catalogue;
        this.timeline = timeline;
    }

    void register(OperatorHandler operators) {
        operators.register("vms", this::vms);
        operators.register("upstreams", this::upstreams);
        operators.register("timeline", this::events);
    }

    private JsonNode vms() {
        ObjectNode status = JsonNodeFactory.instance.objectNode();
        status.put("answeredBy", self.vm().value())
                .put("incarnation", self.incarnation().toString())
                .put("draining", membership.isDraining())
                .put("proven", configuration.isProven())
                .put("revision", configuration.current().revision().value());
        ArrayNode peers = status.putArray("peers");
        for (Peer peer : network.peers()) {
            peers.addObject()
                    .put("vm", peer.vm().value())
                    .put("incarnation", peer.incarnation().toString())
                    .put("zone", peer.zone().value());
        }
        ArrayNode addresses = status.putArray("addresses");
        for (CallerAddress address : membership.addresses(Optional.empty())) {
            addresses.add(address.vm() + " " + address.address());
        }
        return status;
    }

    private JsonNode upstreams() {
        ObjectNode status = JsonNodeFactory.instance.objectNode();
        for (ServiceName service :
                new TreeSet<>(configuration.current().services().keySet())) {
            ArrayNode list = status.putArray(service.value());
            for (KnownUpstream upstream : catalogue.upstreams(service)) {
                list.addObject()
                        .put("upstream", upstream.id().value())
                        .put("zone", upstream.zone().value())
                        .put("cheap", upstream.cheap())
                        .put("leaving", upstream.leaving());
            }
        }
        return status;
    }

    private JsonNode events() {
        try {
            return MAPPER.valueToTree(EventList.of(timeline.gather()));
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return JsonNodeFactory.instance.objectNode();
        }
    }
}
