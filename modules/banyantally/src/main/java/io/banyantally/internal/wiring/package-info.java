/** Puts the parts of an entry daemon together with Dagger, and starts and stops them in order. */
package io.banyantally.internal.wiring;
