/** Tells the VMs of a gateway which work each of them has at the upstreams. */
package io.banyantally.internal.exchange;
