package io.banyantally.platform;

/** The idempotency key of an upstream order, where the ordering interface supports one: the same token orders once. */
public record OrderToken(String value) {

    @Override
    public String toString() {
        return value;
    }
}
