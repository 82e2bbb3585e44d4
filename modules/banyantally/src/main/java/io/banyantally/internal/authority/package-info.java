/** Ownership of scopes: leases and fencing numbers decide which process may act for a scope. */
package io.banyantally.internal.authority;
