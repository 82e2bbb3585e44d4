/** Dagger modules of an entry daemon, and its start and shutdown sequence. */
package io.banyantally.internal.wiring;
