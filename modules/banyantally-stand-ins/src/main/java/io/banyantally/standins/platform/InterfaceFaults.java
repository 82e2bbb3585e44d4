package io.banyantally.standins.platform;

import java.util.SplittableRandom;

/** Decides about the faults of one interface. */
final class InterfaceFaults {

    private FaultSettings settings = FaultSettings.NONE;
    private SplittableRandom random = new SplittableRandom(0);

    synchronized void set(FaultSettings newSettings) {
        settings = newSettings;
        random = new SplittableRandom(newSettings.seed());
    }

    synchronized FaultSettings settings() {
        return settings;
    }

    synchronized boolean losesAnswer() {
        return settings.loseAnswer() > 0 && random.nextDouble() < settings.loseAnswer();
    }
}
