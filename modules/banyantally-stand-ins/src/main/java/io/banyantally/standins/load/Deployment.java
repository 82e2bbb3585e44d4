package io.banyantally.standins.load;

/** The two deployments. */
public enum Deployment {
    /** Whole inspection histories beside short questions; each history belongs to one client account. */
    QUITO,
    /** Telemetry logs against one shared manual beside short questions. */
    SFAX;

    /** Returns what the callers of the deployment send. */
    Traffic traffic() {
        return switch (this) {
            case QUITO -> Traffic.QUITO;
            case SFAX -> Traffic.SFAX;
        };
    }
}
