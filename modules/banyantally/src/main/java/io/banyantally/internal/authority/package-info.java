/** Authority: which process owns a scope, with leases and fencing numbers. */
package io.banyantally.internal.authority;
