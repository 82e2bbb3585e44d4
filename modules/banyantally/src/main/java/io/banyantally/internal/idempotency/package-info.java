/** At-most-once execution of non-idempotent calls: claims, outcomes and queries of outcomes. */
package io.banyantally.internal.idempotency;
