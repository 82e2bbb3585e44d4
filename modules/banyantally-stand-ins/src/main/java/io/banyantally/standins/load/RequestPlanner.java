package io.banyantally.standins.load;

import io.banyantally.standins.engine.ExpectedText;
import java.util.List;
import java.util.SplittableRandom;

/** Generates the random requests of a run. The same seed and times yield the same requests. */
final class RequestPlanner {

    /** Histories per account; few enough that they repeat while they are still in the cache of an engine. */
    private static final int DOCUMENTS_PER_ACCOUNT = 12;

    private static final TokenRange SHORT_ANSWER = new TokenRange(8, 40);
    private static final TokenRange LONG_ANSWER = new TokenRange(120, 320);
    private static final double ORDER_SHARE_OF_CALLS = 0.5;

    private final Traffic traffic;
    private final List<LoadAccount> accounts;
    private final double totalShare;
    private final LoadPattern pattern;
    private final double plainShare;
    private final double scale;
    private final double repeatShare;
    private final PromptTexts texts;
    private final SplittableRandom random;
    private final long seed;
    private long requestCount;

    RequestPlanner(
            Traffic traffic,
            List<LoadAccount> accounts,
            LoadPattern pattern,
            double plainShare,
            double scale,
            double repeatShare,
            long seed) {
        this.repeatShare = repeatShare;
        this.traffic = traffic;
        this.accounts = accounts;
        this.totalShare = accounts.stream().mapToDouble(LoadAccount::share).sum();
        this.pattern = pattern;
        this.plainShare = plainShare;
        this.scale = scale;
        this.texts = new PromptTexts(seed, scale);
        this.seed = seed;
        this.random = new SplittableRandom(seed);
    }

    /** Draws the request that is due at a time since the start. */
    synchronized PlannedRequest next(double seconds) {
        requestCount++;
        int account = drawAccount();
        return random.nextDouble() < plainShare ? call(account) : chat(account, seconds);
    }

    /** Draws whether an order is sent a second time with its idempotency key. */
    synchronized boolean drawRepeat() {
        return repeatShare > 0 && random.nextDouble() < repeatShare;
    }

    /** Draws the time until the next request of an open loop with a mean rate. */
    synchronized double secondsToNext(double seconds, double meanRate) {
        return -Math.log(1 - random.nextDouble()) / (meanRate * pattern.rateFactor(seconds));
    }

    private int drawAccount() {
        double drawn = random.nextDouble() * totalShare;
        for (int index = 0; index < accounts.size(); index++) {
            drawn -= accounts.get(index).share();
            if (drawn < 0) {
                return index;
            }
        }
        return accounts.size() - 1;
    }

    private PlannedChat chat(int account, double seconds) {
        boolean longPrompt = random.nextDouble() < pattern.longPromptShare(seconds);
        String context = longPrompt ? context(account) : "";
        String question = PromptTexts.text(random.nextLong(), traffic.question().draw(random, 1))
                + ExpectedText.marker(random.nextLong());
        TokenRange answer = longPrompt ? SHORT_ANSWER : LONG_ANSWER;
        return new PlannedChat(accounts.get(account), context, question, answer.draw(random, Math.sqrt(scale)));
    }

    private String context(int account) {
        long document = (long) account * DOCUMENTS_PER_ACCOUNT + random.nextInt(DOCUMENTS_PER_ACCOUNT);
        String text = texts.document(document, traffic.document());
        return traffic.hasSharedManual() ? texts.manual() + text : text;
    }

    private PlannedCall call(int account) {
        boolean order = random.nextDouble() < ORDER_SHARE_OF_CALLS;
        List<String> paths = order ? traffic.orderPaths() : traffic.readPaths();
        String id = order ? "order-" + seed + "-" + requestCount : "";
        return new PlannedCall(
                accounts.get(account),
                traffic.plainService(),
                order ? "POST" : "GET",
                paths.get(random.nextInt(paths.size())),
                order ? "key-" + seed + "-" + requestCount : "",
                id);
    }
}
