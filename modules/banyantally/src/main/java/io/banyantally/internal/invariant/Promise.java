package io.banyantally.internal.invariant;

/** The invariants of the system, called promises; the ids are those of docs/design.md, section 1.2. */
public enum Promise {
    /** An engine never receives conflicting orders. */
    NO_CONFLICTING_ORDERS,
    /** No request is cut by a planned change. */
    NO_PLANNED_CUT,
    /** Orders from a process that is no longer the owner of their scope have no effect. */
    STALE_AUTHORITY_HARMLESS,
    /** A request runs only for the client account whose key came with it, and no upstream sees the key. */
    TENANT_ISOLATION,
    /** Upstream orders never come from two processes that both act as the owner. */
    SINGLE_UPSTREAM_ORDERER,
    /** No usage window is reported twice with different figures, or by two owners. */
    SINGLE_USAGE_REPORT,
    /** A caller gets the whole answer to its own request. */
    COMPLETE_OWN_ANSWER,
    /** A request that was refused as "not run" has not run at any upstream. */
    TRUE_NOT_RUN,
    /** A non-idempotent call runs at most once. */
    AT_MOST_ONCE,
    /** A leaving upstream gets no new work after a few seconds. */
    LEAVING_GETS_NO_NEW_WORK,
    /** Every planned stop is a graceful shutdown. */
    GRACEFUL_STOP,
    /** An accepted configuration is in use on all VMs within seconds and never reverts. */
    CONFIGURATION_NEVER_REVERTS
}
