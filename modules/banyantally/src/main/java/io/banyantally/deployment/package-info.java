/** What the operator of a deployment configures and what its upstreams publish, as the gateway sees it. */
package io.banyantally.deployment;
