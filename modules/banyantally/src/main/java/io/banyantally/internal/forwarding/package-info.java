/** Forwards plain HTTP requests to upstreams by the operator's routes. One virtual thread carries one request. */
package io.banyantally.internal.forwarding;
