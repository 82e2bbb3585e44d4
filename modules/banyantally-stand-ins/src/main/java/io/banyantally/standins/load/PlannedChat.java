package io.banyantally.standins.load;

/**
 * A chat completion.
 *
 * @param context the text that comes before the question and that other requests may share; may be empty
 * @param question the question, with a marker that determines the answer
 */
public record PlannedChat(LoadAccount account, String context, String question, int outputTokens)
        implements PlannedRequest {}
