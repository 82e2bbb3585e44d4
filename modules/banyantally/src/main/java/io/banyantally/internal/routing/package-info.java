/** Routing of requests to upstreams by their load, health and cached prompt prefixes. */
package io.banyantally.internal.routing;
