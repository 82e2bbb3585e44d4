package io.banyantally.internal.peer;

/** Names a kind of request between peers. Each topic has one subsystem that handles it. */
public record Topic(String name) {

    @Override
    public String toString() {
        return name;
    }
}
