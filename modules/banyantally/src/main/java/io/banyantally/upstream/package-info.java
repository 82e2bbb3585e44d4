/** Interfaces to upstreams, which are model engines and plain services, with their checked exceptions. */
package io.banyantally.upstream;
