package io.banyantally.standins.load;

/** A request that the load tool is going to send. */
public sealed interface PlannedRequest permits PlannedChat, PlannedCall {

    /** Returns the client account whose API key it carries. */
    LoadAccount account();
}
