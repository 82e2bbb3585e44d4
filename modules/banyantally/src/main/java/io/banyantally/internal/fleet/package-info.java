/** Decisions on roles and on the number of upstreams. Pure: they are given what is known and return what to order. */
package io.banyantally.internal.fleet;
