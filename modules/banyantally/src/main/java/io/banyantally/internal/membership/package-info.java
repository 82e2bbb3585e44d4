/** Membership: which entry VMs are alive, which addresses callers get, and the graceful shutdown. */
package io.banyantally.internal.membership;
