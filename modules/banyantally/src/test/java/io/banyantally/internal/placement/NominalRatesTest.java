package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.placement.PrefillCost.CacheExpectation;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.util.List;
import org.junit.jupiter.api.Test;

final class NominalRatesTest {

    private static final ReplicaEntry ENGINE = Deployments.engine("e1", "zone-a", EngineStage.PREFILL);

    private final ManualClock clock = new ManualClock();
    private final NominalRates rates = new NominalRates(clock, new MetricRegistry());

    /** Guards against deployments that place prompts differently although they do not use measured rates. */
    @Test
    void costOfAPromptIsThatOfAnEngineOfTheFirstKind() {
        PromptMetadata prompt = new PromptMetadata(
                9190, 10, List.of(new PromptPart("a", 2520), new PromptPart("b", 3780), new PromptPart("c", 2890)));

        assertEquals(11.33, rates.prefillMillis(ENGINE, prompt, CacheExpectation.HOME), 0.01);
        assertEquals(17.93, rates.prefillMillis(ENGINE, prompt, CacheExpectation.NONE), 0.01);
    }

    /** Guards against rates that follow a call, or messages with rates that nobody uses. */
    @Test
    void callsChangeNothing() {
        PromptMetadata prompt = new PromptMetadata(3000, 10, List.of(new PromptPart("own", 3000)));
        double before = rates.prefillMillis(ENGINE, prompt, CacheExpectation.NONE);
        Candidate candidate =
                new UpstreamTracks(clock).candidates(List.of(ENGINE)).getFirst();

        rates.recordPrefill(new Placement.Decision.Send(candidate, 0, before, "any"), prompt, 500);

        assertEquals(before, rates.prefillMillis(ENGINE, prompt, CacheExpectation.NONE));
        assertEquals(RateReport.NONE, rates.rates(vm -> true));
    }
}
