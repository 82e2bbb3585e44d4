/** Watches the operator's configuration, the VMs and the upstreams in the platform's store. */
package io.banyantally.internal.deployment;
