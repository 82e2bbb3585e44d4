package io.banyantally.internal.duty;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Checks the acts of the holders of the duties: who, when and with which number. */
final class DutyActs {

    /** Holders must not take turns within this time ({@code leaseMs}). */
    static final long TURN_MILLIS = 3000;

    /** The last call of a holder may be open for 700 ms, and be delayed on the way for a second. */
    private static final long CALL_MILLIS = 1700;

    private final List<String> violations = new ArrayList<>();
    private final Map<VmId, Long> lastActs = new HashMap<>();
    private Optional<VmId> holder = Optional.empty();
    private FencingNumber highest = FencingNumber.NONE;
    private long lastActAt = -CALL_MILLIS;

    /** Records who may act at a time. */
    void record(long now, Map<VmId, FencingNumber> acting) {
        if (acting.size() > 1) {
            violations.add(now + " ms: two VMs may act: " + acting);
        }
        acting.forEach((vm, number) -> record(now, vm, number));
    }

    private void record(long now, VmId vm, FencingNumber number) {
        boolean sameHolder = holder.isPresent() && holder.get().equals(vm);
        if (highest.isAfter(number) || (!sameHolder && !number.isAfter(highest))) {
            violations.add(now + " ms: " + vm + " acts with number " + number + " after " + highest);
        }
        if (!sameHolder && now - lastActAt < CALL_MILLIS) {
            violations.add(now + " ms: " + vm + " acts " + (now - lastActAt) + " ms after " + holder);
        }
        if (!sameHolder && lastActs.containsKey(vm) && now - lastActs.get(vm) < TURN_MILLIS + CALL_MILLIS) {
            violations.add(now + " ms: " + vm + " acts again after " + holder + " and " + lastActs.get(vm) + " ms");
        }
        holder = Optional.of(vm);
        highest = number;
        lastActAt = now;
        lastActs.put(vm, now);
    }

    FencingNumber highest() {
        return highest;
    }

    long lastActAt() {
        return lastActAt;
    }

    List<String> violations() {
        return List.copyOf(violations);
    }
}
