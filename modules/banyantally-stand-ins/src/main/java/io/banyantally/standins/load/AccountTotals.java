package io.banyantally.standins.load;

import java.util.concurrent.atomic.LongAdder;

/** Request counts of one client account. */
final class AccountTotals {

    private final LongAdder requests = new LongAdder();
    private final LongAdder good = new LongAdder();
    private final LongAdder refused = new LongAdder();

    void add(Outcome outcome, boolean isGood) {
        requests.increment();
        if (isGood) {
            good.increment();
        }
        if (outcome.kind() == Outcome.Kind.NOT_RUN) {
            refused.increment();
        }
    }

    LoadSummary.AccountSummary summary(LoadAccount account, double seconds) {
        return new LoadSummary.AccountSummary(
                account.account(), account.share(), requests.sum(), good.sum(), good.sum() / seconds, refused.sum());
    }
}
