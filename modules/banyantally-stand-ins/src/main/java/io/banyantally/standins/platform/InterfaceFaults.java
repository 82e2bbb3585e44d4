package io.banyantally.standins.platform;

import java.util.SplittableRandom;

/** The fault settings of one interface, with the random draws for lost answers. */
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

    synchronized boolean shouldLoseAnswer() {
        return settings.loseAnswer() > 0 && random.nextDouble() < settings.loseAnswer();
    }
}
