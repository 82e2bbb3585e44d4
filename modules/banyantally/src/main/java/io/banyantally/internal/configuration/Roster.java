package io.banyantally.internal.configuration;

import io.banyantally.model.VmId;
import java.util.Set;
import java.util.TreeSet;

/**
 * The entry VMs of which a majority confirms changes. Membership changes by one VM at a time, so that any majority
 * before a change and any majority after it share a VM.
 *
 * @param base the VMs that currently form majorities
 * @param next the VMs that form majorities once a majority of {@code base} has applied this roster; equal to
 *     {@code base} if no change is in progress
 * @param changedAt the revision that started the latest change; distinguishes it from an earlier identical change
 */
record Roster(Set<VmId> base, Set<VmId> next, long changedAt) {

    static final Roster EMPTY = new Roster(Set.of(), Set.of(), 0);

    /** Copies the sets. */
    Roster {
        base = Set.copyOf(base);
        next = Set.copyOf(next);
    }

    /** Returns how many VMs of the base form a majority; an empty base never reaches a majority. */
    int majority() {
        return base.size() / 2 + 1;
    }

    boolean isChanging() {
        return !base.equals(next);
    }

    /** Returns the roster after completion of the change in progress. */
    Roster withChangeCompleted() {
        return new Roster(next, next, changedAt);
    }

    /** Starts adding a VM. The first VM becomes the base at once, since there is no majority to confirm it. */
    Roster adding(VmId vm, long revision) {
        requireNoChangeInProgress();
        Set<VmId> grown = new TreeSet<>(base);
        grown.add(vm);
        return base.isEmpty() ? new Roster(grown, grown, revision) : new Roster(base, grown, revision);
    }

    Roster removing(VmId vm, long revision) {
        requireNoChangeInProgress();
        Set<VmId> shrunk = new TreeSet<>(base);
        shrunk.remove(vm);
        return new Roster(base, shrunk, revision);
    }

    private void requireNoChangeInProgress() {
        if (isChanging()) {
            throw new IllegalStateException(
                    "roster " + base + " is changing to " + next + "; complete this change first");
        }
    }
}
