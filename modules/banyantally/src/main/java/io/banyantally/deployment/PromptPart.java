package io.banyantally.deployment;

/** A part of a prompt, with its length; requests that share a part use the same id. */
public record PromptPart(String id, int tokens) {}
