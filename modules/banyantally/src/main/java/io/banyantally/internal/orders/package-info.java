/** Orders to engines and orders for upstreams, sent by the owner of their scope. */
package io.banyantally.internal.orders;
