/** Configuration: manifest and buckets, how they reach every VM, proof that they are current, and callers' keys. */
package io.banyantally.internal.configuration;
