package io.banyantally.standins;

import java.util.List;

/** A header that an upstream has seen, with its different values. */
public record ReceivedHeader(String name, List<String> values) {}
