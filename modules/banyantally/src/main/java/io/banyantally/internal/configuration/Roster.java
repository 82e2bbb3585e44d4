package io.banyantally.internal.configuration;

import io.banyantally.model.VmId;
import java.util.Set;
import java.util.TreeSet;

/**
 * The entry VMs that confirm changes. The roster changes by one VM at a time, so that a majority before and a majority
 * after the change have a VM in common.
 *
 * @param base the VMs whose majority counts now
 * @param next the VMs whose majority counts once a majority of {@code base} applied this roster; the same as
 *     {@code base} when no change is under way
 * @param changedAt the revision that began the latest change, which tells it apart from an equal one before
 */
record Roster(Set<VmId> base, Set<VmId> next, long changedAt) {

    static final Roster EMPTY = new Roster(Set.of(), Set.of(), 0);

    /** Copies the sets. */
    Roster {
        base = Set.copyOf(base);
        next = Set.copyOf(next);
    }

    /** Returns how many VMs of the base make a majority; nothing reaches the majority of an empty base. */
    int majority() {
        return base.size() / 2 + 1;
    }

    boolean isChanging() {
        return !base.equals(next);
    }

    /** Returns the roster with the change under way completed. */
    Roster settled() {
        return new Roster(next, next, changedAt);
    }

    /** Starts to add a VM. The first VM becomes the base at once, since no majority existed before it. */
    Roster adding(VmId vm, long revision) {
        requireSettled();
        Set<VmId> grown = new TreeSet<>(base);
        grown.add(vm);
        return base.isEmpty() ? new Roster(grown, grown, revision) : new Roster(base, grown, revision);
    }

    /** Starts to remove a VM. */
    Roster removing(VmId vm, long revision) {
        requireSettled();
        Set<VmId> shrunk = new TreeSet<>(base);
        shrunk.remove(vm);
        return new Roster(base, shrunk, revision);
    }

    private void requireSettled() {
        if (isChanging()) {
            throw new IllegalStateException("roster " + base + " is changing to " + next + "; settle it first");
        }
    }
}
