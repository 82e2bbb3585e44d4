/** Orders that change engines and orders that change the number of upstreams, sent by the owner of their scope. */
package io.banyantally.internal.orders;
