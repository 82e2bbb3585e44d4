package io.banyantally.upstream;

/** One HTTP header field. */
public record HeaderField(String name, String value) {}
