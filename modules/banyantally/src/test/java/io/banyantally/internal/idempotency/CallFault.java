package io.banyantally.internal.idempotency;

/** A fault that a test injects at one step of a call with an idempotency key. */
enum CallFault {
    NONE,
    KILL_BEFORE,
    KILL_AFTER,
    PAUSE_BEFORE,
    PAUSE_AFTER,
    CUT_LINK_TO_OTHER,
    CUT_FROM_ALL,
    PLATFORM_DOWN,
    PLATFORM_SLOW,
    LOST_ANSWER,
    LOST_REQUEST,
    CLOSED_BEFORE_RUN,
    CLOSED_AFTER_RUN,
    NOT_SENT,
    REFUSED,
    SECOND_CALLER_BEFORE,
    SECOND_CALLER_AFTER,
    OTHER_BODY
}
