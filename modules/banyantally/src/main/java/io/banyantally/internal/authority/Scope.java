package io.banyantally.internal.authority;

/** A unit of work that has at most one owner at a time, such as {@code asistente@quito-n} or {@code usage-7}. */
public record Scope(String name) {

    /** Rejects names that would not fit into one segment of a store key. */
    public Scope {
        if (name == null || name.isEmpty() || name.contains("/")) {
            throw new IllegalArgumentException("scope '" + name + "' is not valid; use a name without '/'");
        }
    }

    @Override
    public String toString() {
        return name;
    }
}
