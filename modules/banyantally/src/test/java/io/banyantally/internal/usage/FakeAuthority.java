package io.banyantally.internal.usage;

import io.banyantally.internal.authority.Authority;
import io.banyantally.internal.authority.Scope;
import io.banyantally.model.FencingNumber;

/** The authority of one owner; a test can end it. */
final class FakeAuthority implements Authority {
    final UsageVm vm;
    private final long number;
    boolean granted = true;

    FakeAuthority(UsageVm vm, long number) {
        this.vm = vm;
        this.number = number;
    }

    @Override
    public Scope scope() {
        return UsageBuckets.scopeOf(UsageSimulation.BUCKET);
    }

    @Override
    public FencingNumber fencingNumber() {
        return new FencingNumber(number);
    }

    @Override
    public boolean isGranted() {
        return granted;
    }
}
