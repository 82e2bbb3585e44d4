package io.banyantally.internal.admission;

import io.banyantally.internal.admission.AdmissionRefusedException.Reason;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.PeriodicTasks;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;

/**
 * Admission by weighted fair queueing, with limits that hold over all entry VMs together. {@link #start} runs the tasks
 * that exchange demand with peers and admit waiting requests; a simulation calls {@link #admitWaiting} and
 * {@link #exchangeDemand} instead.
 */
public final class FairAdmission implements Admission {
    private static final Duration QUEUE_CHECK_INTERVAL = Duration.ofMillis(5);
    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock;
    private final CapacityView capacities;
    private final DemandExchange exchange;
    private final Map<ClientAccountId, AccountState> accounts = new ConcurrentHashMap<>();
    private final Map<ServiceName, ServiceGate> gates = new ConcurrentHashMap<>();
    private final PeriodicTasks tasks = new PeriodicTasks();

    /** Creates the admission of one VM and registers its handler for the peer topic {@code admission.demand}. */
    public FairAdmission(
            VmId self,
            MonotonicClock clock,
            CapacityView capacities,
            ConfigurationView configuration,
            PeerNetwork peers) {
        this.clock = clock;
        this.capacities = capacities;
        this.exchange = new DemandExchange(self, clock, configuration, peers, accounts, gates);
    }

    /** Starts the periodic tasks: processing of the queues and exchange of demand. */
    public void start() {
        tasks.start("admission-queue", QUEUE_CHECK_INTERVAL, this::admitWaiting);
        tasks.start("admission-demand", DemandExchange.INTERVAL, exchange::runRound);
    }

    /** Stops the periodic tasks. Waiting requests are still admitted as running ones end. */
    public void stop() {
        tasks.stop();
    }

    /** Admits waiting requests for which there is capacity now, and refuses those that have waited too long. */
    public void admitWaiting() {
        gates.values().forEach(ServiceGate::processQueueIfWaiting);
    }

    /** Exchanges demand with all peers once and updates the shares. */
    public void exchangeDemand() {
        exchange.runRound();
    }

    @Override
    public AdmissionTicket admit(AdmissionRequest request) throws AdmissionRefusedException, InterruptedException {
        CompletableFuture<AdmissionTicket> decision = submit(request);
        try {
            return decision.get();
        } catch (ExecutionException refused) {
            if (refused.getCause() instanceof AdmissionRefusedException refusal) {
                throw refusal;
            }
            throw new IllegalStateException(
                    "unexpected failure of the admission of a request for service " + request.service(),
                    refused.getCause());
        } catch (InterruptedException interrupted) {
            if (!decision.cancel(false) && !decision.isCompletedExceptionally()) {
                decision.join().close();
            }
            throw interrupted;
        }
    }

    /**
     * Asynchronous form of {@link #admit}: the future completes with the ticket or an
     * {@link AdmissionRefusedException}. Cancelling it withdraws the request.
     */
    public CompletableFuture<AdmissionTicket> submit(AdmissionRequest request) {
        ClientAccountParameters parameters = request.account();
        long now = clock.nanoTime();
        AccountState account = accounts.computeIfAbsent(
                parameters.account(), id -> new AccountState(parameters, exchange.initialShare(), now));
        WorkEstimate expected = account.expectedWork(request.work());
        ServiceCapacity capacity = capacities.capacity(request.service()).orElse(null);
        if (capacity == null) {
            return refused(Reason.OVERLOADED, 1, "service " + request.service() + " has no upstream that accepts work");
        }
        double wait = account.tryAcquire(parameters, expected, now).orElse(0.0);
        if (wait > 0) {
            return refused(
                    Reason.ACCOUNT_LIMIT,
                    wait,
                    "client account " + parameters.account()
                            + " has reached its limit of requests, tokens or concurrent requests");
        }
        PendingRequest pending = new PendingRequest(request, account, expected, capacity, now);
        gate(request.service()).submit(pending);
        return pending.decision;
    }

    private ServiceGate gate(ServiceName service) {
        ServiceGate known = gates.get(service);
        return known != null
                ? known
                : gates.computeIfAbsent(
                        service,
                        name -> new ServiceGate(
                                name,
                                clock,
                                () -> capacities.capacity(name).orElse(ServiceGate.NO_CAPACITY),
                                exchange.initialShare()));
    }

    private static CompletableFuture<AdmissionTicket> refused(Reason reason, double seconds, String message) {
        Duration retryAfter = Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
        return CompletableFuture.failedFuture(new AdmissionRefusedException(reason, retryAfter, message));
    }

    /** Returns the number of requests that wait for admission on this VM. */
    public int waitingRequests() {
        return gates.values().stream().mapToInt(ServiceGate::waiting).sum();
    }

    /** Returns the fraction of an account's limits that this VM may use now, from 0 to 1. */
    public double shareOf(ClientAccountId account) {
        AccountState state = accounts.get(account);
        return state == null ? exchange.initialShare() : state.share();
    }
}
