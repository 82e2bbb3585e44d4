package io.banyantally.deployment;

/** The load that an upstream adds to an answer. */
public record ReportedLoad(int running, int waiting, int slots) {}
