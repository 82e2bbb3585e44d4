package io.banyantally.standins.load;

/** The deployments whose traffic the load tool can send. */
public enum Deployment {
    /** Long prompts with inspection histories, each of one client account, beside short questions. */
    QUITO,
    /** Long prompts with telemetry logs after one shared manual, beside short questions. */
    SFAX;

    /** Returns the traffic that callers of the deployment send. */
    Traffic traffic() {
        return switch (this) {
            case QUITO -> Traffic.QUITO;
            case SFAX -> Traffic.SFAX;
        };
    }
}
