/** Membership: the live entry VMs, the platform's VM list, the choice of peers, and the addresses for callers. */
package io.banyantally.internal.membership;
