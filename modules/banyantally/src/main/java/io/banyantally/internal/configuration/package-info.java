/** Configuration: its storage as manifest and buckets, replication to all VMs, freshness proofs, and API keys. */
package io.banyantally.internal.configuration;
