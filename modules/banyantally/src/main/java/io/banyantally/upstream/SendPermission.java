package io.banyantally.upstream;

/** Checked immediately before an order is sent, when its connection is already open. */
@FunctionalInterface
public interface SendPermission {

    /** Returns whether the sender may still act. */
    boolean isGranted();
}
