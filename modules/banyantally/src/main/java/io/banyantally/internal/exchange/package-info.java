/** Exchange between the VMs of a gateway of the work that each of them has at the upstreams. */
package io.banyantally.internal.exchange;
