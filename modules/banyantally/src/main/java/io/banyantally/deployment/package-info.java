/**
 * The configuration of a deployment, the entries of its upstreams, and the data in HTTP headers, as the gateway uses
 * them.
 */
package io.banyantally.deployment;
