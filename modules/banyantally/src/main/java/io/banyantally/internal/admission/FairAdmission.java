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
 * that exchange demand with peers and let waiting requests go on; a simulation calls {@link #admitWaiting} and
 * {@link #exchangeDemand} instead.
 */
public final class FairAdmission implements Admission {
    private static final Duration ATTEND_INTERVAL = Duration.ofMillis(5);
    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock;
    private final CapacityView capacities;
    private final DemandExchange exchange;
    private final Map<ClientAccountId, AccountState> accounts = new ConcurrentHashMap<>();
    private final Map<ServiceName, ServiceGate> gates = new ConcurrentHashMap<>();
    private final PeriodicTasks tasks = new PeriodicTasks();

    /** Creates the admission of one VM and sets its handler for the topic {@code admission.demand}. */
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

    /** Starts the periodic tasks. */
    public void start() {
        tasks.start("admission-attend", ATTEND_INTERVAL, this::admitWaiting);
        tasks.start("admission-demand", DemandExchange.INTERVAL, exchange::round);
    }

    /** Stops the periodic tasks. Requests that wait are still answered when running ones end. */
    public void stop() {
        tasks.stop();
    }

    /** Lets waiting requests go on where there is room now, and refuses those that have waited too long. */
    public void admitWaiting() {
        gates.values().forEach(ServiceGate::attendIfWaiting);
    }

    /** Exchanges demand with all peers once. */
    public void exchangeDemand() {
        exchange.round();
    }

    @Override
    public AdmissionTicket admit(AdmissionRequest request) throws AdmissionRefusedException, InterruptedException {
        CompletableFuture<AdmissionTicket> answer = submit(request);
        try {
            return answer.get();
        } catch (ExecutionException refused) {
            if (refused.getCause() instanceof AdmissionRefusedException refusal) {
                throw refusal;
            }
            throw new IllegalStateException("admission failed for service " + request.service(), refused.getCause());
        } catch (InterruptedException interrupted) {
            if (!answer.cancel(false) && !answer.isCompletedExceptionally()) {
                answer.join().close();
            }
            throw interrupted;
        }
    }

    /** As {@link #admit}, without waiting: the future gets the ticket, or an {@link AdmissionRefusedException}. Cancelling it gives up. */
    public CompletableFuture<AdmissionTicket> submit(AdmissionRequest request) {
        ClientAccountParameters parameters = request.account();
        long now = clock.nanoTime();
        AccountState account = accounts.computeIfAbsent(
                parameters.account(), id -> new AccountState(parameters, exchange.initialShare(), now));
        WorkEstimate expected = account.expected(request.work());
        ServiceCapacity capacity = capacities.capacity(request.service()).orElse(null);
        if (capacity == null) {
            return refused(Reason.OVERLOADED, 1, "service " + request.service() + " has no upstream that takes work");
        }
        double wait = account.takeOrWait(parameters, expected, now).orElse(0.0);
        if (wait > 0) {
            return refused(
                    Reason.ACCOUNT_LIMIT, wait, "client account " + parameters.account() + " has reached its limit");
        }
        PendingRequest pending = new PendingRequest(request, account, expected, capacity, now);
        gate(request.service()).enter(pending);
        return pending.answer;
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

    /** Returns how many requests wait for their turn on this VM. */
    public int waitingRequests() {
        return gates.values().stream().mapToInt(ServiceGate::waiting).sum();
    }

    /** Returns the part of an account's limits that this VM may use now. */
    public double shareOf(ClientAccountId account) {
        AccountState state = accounts.get(account);
        return state == null ? exchange.initialShare() : state.share();
    }
}
