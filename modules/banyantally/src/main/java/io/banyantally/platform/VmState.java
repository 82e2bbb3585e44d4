package io.banyantally.platform;

/** The state of a VM in the platform's list. */
public enum VmState {
    /** The VM runs. */
    LIVE,
    /** The VM has been told to go: planned, or reclaimed at a few seconds' notice. */
    LEAVING
}
