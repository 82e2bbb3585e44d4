/** Calls that may not be repeated: claims, outcomes and how to ask for them later. */
package io.banyantally.internal.idempotency;
