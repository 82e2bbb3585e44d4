package io.banyantally.deployment;

/** A part of a prompt that other requests may share. */
public record PromptPart(String id, int tokens) {}
