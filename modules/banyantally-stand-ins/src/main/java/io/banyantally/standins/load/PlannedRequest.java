package io.banyantally.standins.load;

/** A request that the load tool is going to send. */
public sealed interface PlannedRequest permits PlannedChat, PlannedCall {

    /** The client account whose key it carries. */
    LoadAccount account();
}
