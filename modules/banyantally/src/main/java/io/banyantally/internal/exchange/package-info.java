/** What the VMs of a gateway tell each other: the work that they have at upstreams, and changes of the store. */
package io.banyantally.internal.exchange;
