/** Forwards HTTP requests to upstreams by the operator's routes, on one virtual thread for each request. */
package io.banyantally.internal.forwarding;
