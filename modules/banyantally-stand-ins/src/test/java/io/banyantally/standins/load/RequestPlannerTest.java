package io.banyantally.standins.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against runs that cannot be reproduced and mixes that do not alternate. */
final class RequestPlannerTest {

    private static final List<LoadAccount> ACCOUNTS =
            List.of(new LoadAccount("large", "k1", 6), new LoadAccount("small", "k2", 1));

    private static List<PlannedRequest> requests(Deployment deployment, double second, int count) {
        RequestPlanner planner =
                new RequestPlanner(deployment.traffic(), ACCOUNTS, new LoadPattern(60), 0.2, 0.05, 0, 9);
        return IntStream.range(0, count).mapToObj(index -> planner.next(second)).toList();
    }

    private static long longPrompts(List<PlannedRequest> requests) {
        return requests.stream()
                .filter(request ->
                        request instanceof PlannedChat chat && !chat.context().isEmpty())
                .count();
    }

    @Test
    void sameSeedYieldsTheSameRequests() {
        assertEquals(requests(Deployment.SFAX, 3, 200), requests(Deployment.SFAX, 3, 200));
    }

    @Test
    void mixAlternatesWithinAMinute() {
        long inPrefillHalf = longPrompts(requests(Deployment.QUITO, 10, 1000));
        long inDecodeHalf = longPrompts(requests(Deployment.QUITO, 40, 1000));
        assertTrue(inPrefillHalf > 3 * inDecodeHalf, inPrefillHalf + " and " + inDecodeHalf);
    }

    @Test
    void longPromptsOfSfaxShareTheManual() {
        List<PlannedChat> chats = requests(Deployment.SFAX, 3, 300).stream()
                .filter(PlannedChat.class::isInstance)
                .map(PlannedChat.class::cast)
                .filter(chat -> !chat.context().isEmpty())
                .toList();
        String manual = new PromptTexts(9, 0.05).manual();
        assertTrue(chats.size() > 10
                && chats.stream().allMatch(chat -> chat.context().startsWith(manual)));
    }

    @Test
    void largeAccountSendsMost() {
        long large = requests(Deployment.QUITO, 3, 700).stream()
                .filter(request -> request.account().account().equals("large"))
                .count();
        assertTrue(large > 500 && large < 690, "of 700: " + large);
    }

    @Test
    void burstsKeepTheMeanRate() {
        LoadPattern pattern = new LoadPattern(60);
        double mean = IntStream.range(0, 6000)
                .mapToDouble(step -> pattern.rateFactor(step / 100.0))
                .average()
                .orElseThrow();
        assertEquals(1, mean, 0.01);
    }
}
