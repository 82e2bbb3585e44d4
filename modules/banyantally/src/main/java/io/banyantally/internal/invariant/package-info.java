/** The promises that must always hold, and their checks at run time. */
package io.banyantally.internal.invariant;
