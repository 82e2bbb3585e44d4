/** Fakes for tests: a manual clock, a key-value service with injected faults, and an in-memory peer network. */
package io.banyantally.testing;
