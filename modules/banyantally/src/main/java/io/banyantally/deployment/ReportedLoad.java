package io.banyantally.deployment;

/** The load that an upstream reports in the headers of a response, in requests. */
public record ReportedLoad(int running, int waiting, int slots) {}
