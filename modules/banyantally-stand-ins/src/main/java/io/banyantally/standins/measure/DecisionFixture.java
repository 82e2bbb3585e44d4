package io.banyantally.standins.measure;

import io.banyantally.internal.admission.AdmissionRefusedException;
import io.banyantally.internal.admission.AdmissionRequest;
import io.banyantally.internal.admission.AdmissionTicket;
import io.banyantally.internal.admission.FairAdmission;
import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.Configuration;
import io.banyantally.internal.configuration.ServiceKind;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.internal.routing.LoadAwareRouter;
import io.banyantally.internal.routing.NoUpstreamException;
import io.banyantally.internal.routing.Route;
import io.banyantally.internal.routing.RouterSettings;
import io.banyantally.internal.routing.RoutingRequest;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.Revision;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Router and admission of one VM with many upstreams and client accounts. */
final class DecisionFixture {
    private static final ServiceName SERVICE = new ServiceName("measured");
    private static final ModelName MODEL = new ModelName("model");
    private static final AvailabilityZone ZONE = new AvailabilityZone("zone");
    private static final VmId SELF = new VmId("measuring");
    private static final double UNLIMITED = 1e12;
    private static final int PROMPT_TOKENS = 9_000;
    private static final int OUTPUT_TOKENS = 150;
    private static final int PREFIX_BLOCKS = 4;
    private static final int PREFIXES = 1_000;
    private static final int UNUSED_PORT = 1;

    private final LoadAwareRouter router;
    private final FairAdmission admission;
    private final List<ClientAccountParameters> accounts = new ArrayList<>();
    private final long[][] prefixes = new long[PREFIXES][PREFIX_BLOCKS];

    /** Creates a VM without peers. */
    DecisionFixture(int upstreams, int accountCount) {
        this(SELF, new EmptyPeerNetwork(), upstreams, accountCount);
    }

    /** Creates a VM that exchanges load and demand over a network. */
    DecisionFixture(VmId self, PeerNetwork network, int upstreams, int accountCount) {
        List<KnownUpstream> known = new ArrayList<>();
        for (int upstream = 0; upstream < upstreams; upstream++) {
            UpstreamId id = new UpstreamId("upstream-" + upstream);
            InetSocketAddress address = InetSocketAddress.createUnresolved("unused", UNUSED_PORT);
            known.add(new KnownUpstream(id, SERVICE, ZONE, address, upstream % 3 == 0, false));
        }
        for (int account = 0; account < accountCount; account++) {
            accounts.add(account("account-" + account));
        }
        for (int prefix = 0; prefix < PREFIXES; prefix++) {
            for (int block = 0; block < PREFIX_BLOCKS; block++) {
                prefixes[prefix][block] = (long) prefix * PREFIX_BLOCKS + block;
            }
        }
        Configuration configuration = configuration();
        router = new LoadAwareRouter(
                self,
                MonotonicClock.SYSTEM,
                service -> known,
                new RejectingUpstreamConnector(),
                () -> configuration,
                network,
                new Timeline(self, new Incarnation(1), 100, event -> {}),
                RouterSettings.in(ZONE),
                ThreadLocalRandom::current);
        admission = new FairAdmission(self, MonotonicClock.SYSTEM, router, () -> configuration, network);
    }

    private static ClientAccountParameters account(String id) {
        return new ClientAccountParameters(
                new ClientAccountId(id),
                Set.of(MODEL),
                Set.of(),
                Set.of(),
                0,
                1,
                UNLIMITED,
                UNLIMITED,
                Integer.MAX_VALUE);
    }

    private Configuration configuration() {
        ServiceTemplate template = new ServiceTemplate(
                SERVICE, ServiceKind.MODEL, List.of(MODEL), List.of(), List.of(), 1, 10_000, UNLIMITED);
        Map<ClientAccountId, ClientAccountParameters> byId = new HashMap<>();
        accounts.forEach(account -> byId.put(account.account(), account));
        return new Configuration(Revision.NONE, Map.of(SERVICE, template), byId, Map.of(), Set.of(SELF));
    }

    /** Exchanges load with all peers once. */
    void exchangeLoad() {
        router.exchange();
    }

    /** Exchanges demand with all peers once. */
    void exchangeDemand() {
        admission.exchangeDemand();
    }

    record AdmittedRequest(AdmissionTicket ticket, Route route) {
        void finish() {
            route.tokenReceived();
            ticket.firstTokenSent();
            route.close();
            ticket.finish(OUTPUT_TOKENS);
        }
    }

    /** Admits and routes a request; its number determines client account and prompt prefix. */
    AdmittedRequest admitAndRoute(int number)
            throws AdmissionRefusedException, InterruptedException, NoUpstreamException {
        long[] hashes = prefixes[Math.floorMod(number * 31, PREFIXES)];
        WorkEstimate fullWork = new WorkEstimate(PROMPT_TOKENS, OUTPUT_TOKENS);
        WorkEstimate estimatedWork = router.estimate(SERVICE, fullWork, hashes);
        ClientAccountParameters account = accounts.get(Math.floorMod(number, accounts.size()));
        AdmissionTicket ticket =
                admission.admit(new AdmissionRequest(account, SERVICE, estimatedWork, Duration.ofSeconds(30)));
        Route route = router.choose(new RoutingRequest(SERVICE, Optional.of(MODEL), "", fullWork, Set.of()), hashes);
        return new AdmittedRequest(ticket, route);
    }
}
