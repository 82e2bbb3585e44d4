package io.banyantally.platform;

/** The state of a VM in the platform's list. */
public enum VmState {
    /** The VM is running. */
    LIVE,
    /** The VM is being shut down: as planned, or reclaimed with a few seconds' notice. */
    LEAVING
}
