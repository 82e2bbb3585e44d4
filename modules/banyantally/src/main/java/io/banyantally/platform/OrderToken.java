package io.banyantally.platform;

/** Makes an upstream order idempotent where the ordering interface honours it: the same token orders once. */
public record OrderToken(String value) {

    @Override
    public String toString() {
        return value;
    }
}
