/** Interfaces to upstreams: model engines and plain services, with their checked failures. */
package io.banyantally.upstream;
