package io.banyantally.standins.load;

/**
 * A chat completion.
 *
 * @param context the text before the question, which other requests may share; may be empty
 * @param question the question, with a marker that determines the answer
 */
public record PlannedChat(LoadAccount account, String context, String question, int outputTokens)
        implements PlannedRequest {}
