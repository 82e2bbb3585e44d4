package io.banyantally.internal.forwarding;

/** The bodies of the requests in progress leave no memory for more of this one. */
final class BufferMemoryException extends Exception {

    private static final long serialVersionUID = 1L;

    BufferMemoryException(String message) {
        super(message);
    }
}
