package io.banyantally.standins.experiment;

/** The policies that the experiment compares. */
enum PolicyKind {
    /** The library's admission, routing and planners. */
    BANYANTALLY("banyantally"),
    /** Each VM cycles through the engines. */
    ROUND_ROBIN("round robin"),
    /** Each VM picks the engine with the fewest outstanding requests of that VM. */
    LEAST_OUTSTANDING("least outstanding"),
    /** As least outstanding, but a request is refused when its VM already has a fixed number at the chosen engine. */
    CAPPED("capped outstanding"),
    /** The hash of the prompt prefix decides the engine. */
    PREFIX_ONLY("prefix only"),
    /** Two engines compute long prompts, the others decode. */
    STATIC_ROLES("static roles"),
    /** As static roles, but a role changes whenever the prefill share of demand crosses a threshold. */
    NAIVE_ROLES("naive roles");

    private final String title;

    PolicyKind(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }

    /** Returns whether it is one of the four baselines; capped and naive roles are compared separately. */
    boolean isBaseline() {
        return this != BANYANTALLY && this != NAIVE_ROLES && this != CAPPED;
    }

    ServingPolicy create(Simulation simulation) {
        return this == BANYANTALLY ? new BanyantallyPolicy(simulation) : new BaselinePolicy(simulation, this);
    }
}
