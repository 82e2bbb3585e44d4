/** Routing: which upstream gets a request. */
package io.banyantally.internal.routing;
