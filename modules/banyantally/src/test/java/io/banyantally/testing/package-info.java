/** Fakes for tests: a manual clock, a key-value service that fails on demand, and a peer network in memory. */
package io.banyantally.testing;
