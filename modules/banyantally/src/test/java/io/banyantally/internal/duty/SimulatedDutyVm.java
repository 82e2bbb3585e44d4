package io.banyantally.internal.duty;

import io.banyantally.internal.deployment.EraCheckedStore;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.MemberList;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.time.WallClock;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.HistoryDiscardedException;
import io.banyantally.platform.StoreException;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** A VM of a simulation: its process, which may be paused or restarted, and its connection to the store. */
final class SimulatedDutyVm {

    static final DutyTimes TIMES = DutyTimes.withoutTurnsWithin(Duration.ofMillis(DutyActs.TURN_MILLIS));

    /** A call without a response delays the next round by up to this time. */
    private static final int CALL_TIMEOUT_MILLIS = 1000;

    /** Changes reach the VM within this time. */
    static final int WATCH_MILLIS = 300;

    private final VmId vm;
    private final ManualClock clock;
    private final RandomGenerator random;
    private final StoreLink link;
    private int lifetimes;
    private EraCheckedStore store;
    private StoreFeed feed;
    private DutyLease lease;
    private boolean answered;
    private long refreshAt;
    private long watchAt;
    private long pausedUntil;
    private long cutUntil;
    private long losesUntil;
    private long delaysUntil;
    private long restartAt;

    SimulatedDutyVm(VmId vm, CoordinationStore store, ManualClock clock, RandomGenerator random) {
        this.vm = vm;
        this.clock = clock;
        this.random = random;
        this.link = new StoreLink(store);
        restart();
    }

    VmId vm() {
        return vm;
    }

    /** Ends the process and starts the next one. */
    void restart() {
        restartAt = Long.MAX_VALUE;
        MemberList members = new MemberList();
        store = new EraCheckedStore(link, clock);
        feed = new StoreFeed(store, GatewayStoreKeys.LIVE_PREFIX, members);
        StoreHealth health = new StoreHealth(clock);
        WallClock wallClock = new WallClock(clock, this::now);
        lease = new DutyLease(store, members, health, wallClock, vm, "lifetime-" + ++lifetimes, TIMES);
        watchAt = now();
        refreshAt = now() + random.nextLong(DutyLease.INTERVAL.toMillis());
    }

    void pauseFor(long millis) {
        pausedUntil = now() + millis;
    }

    void cutFor(long millis) {
        cutUntil = now() + millis;
    }

    void loseResponsesFor(long millis) {
        losesUntil = now() + millis;
    }

    void delayTransactionsFor(long millis) {
        delaysUntil = now() + millis;
    }

    /** Stops the lease, as at the start of a graceful shutdown, after which the next process starts. */
    void shutDownFor(long millis) {
        lease.stop();
        restartAt = now() + millis;
    }

    void heal() {
        restartAt = Math.min(restartAt, now());
        pausedUntil = now();
        cutUntil = now();
        losesUntil = now();
        delaysUntil = now();
    }

    /** Does what is due. */
    void step() {
        link.setCut(now() < cutUntil);
        link.setLosesResponses(now() < losesUntil);
        boolean delays = now() < delaysUntil;
        link.setDelaysTransactions(delays);
        if (!delays) {
            link.deliverDelayed();
        }
        if (now() < pausedUntil) {
            return;
        }
        if (now() >= restartAt) {
            restart();
        }
        if (now() >= watchAt) {
            answered = true;
            deliver();
            watchAt = now() + random.nextLong(answered ? WATCH_MILLIS : CALL_TIMEOUT_MILLIS);
        }
        if (now() >= refreshAt) {
            lease.refresh();
            boolean slow = now() < Math.max(cutUntil, Math.max(losesUntil, delaysUntil));
            refreshAt = now() + DutyLease.INTERVAL.toMillis() + (slow ? random.nextLong(CALL_TIMEOUT_MILLIS) : 0);
        }
    }

    private void deliver() {
        try {
            feed.deliver();
        } catch (HistoryDiscardedException discarded) {
            listAgain();
        } catch (StoreException unavailable) {
            answered = false;
        }
    }

    private void listAgain() {
        try {
            feed.listAgain();
        } catch (StoreException unavailable) {
            answered = false;
        }
    }

    /** Returns the number with which the process may act, whether or not it is paused. */
    Optional<FencingNumber> mayAct() {
        return lease.held().filter(holder -> holder.permission().isGranted()).map(DutyHolder::fencing);
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime());
    }
}
