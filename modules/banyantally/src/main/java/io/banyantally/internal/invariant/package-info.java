/** The promises that must always hold, asserted inside the program. */
package io.banyantally.internal.invariant;
