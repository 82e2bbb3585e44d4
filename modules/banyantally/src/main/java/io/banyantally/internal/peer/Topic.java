package io.banyantally.internal.peer;

/** The name of a kind of request between peers. Each topic has one handler. */
public record Topic(String name) {

    @Override
    public String toString() {
        return name;
    }
}
