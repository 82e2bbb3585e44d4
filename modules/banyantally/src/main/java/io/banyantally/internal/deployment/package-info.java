/** Follows the operator's configuration and the upstreams' entries in the platform's store. */
package io.banyantally.internal.deployment;
