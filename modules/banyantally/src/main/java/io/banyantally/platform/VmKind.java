package io.banyantally.platform;

/** The kind of process that runs on a VM in the platform's list. */
public enum VmKind {
    /** An entry VM of this system. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    PLAIN_SERVICE
}
