/** Plans the roles of engines and the number of upstreams, and distributes the plans to the owners of the zones. */
package io.banyantally.internal.fleet;
