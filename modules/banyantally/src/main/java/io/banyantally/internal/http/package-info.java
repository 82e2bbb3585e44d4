/** The HTTP interface for callers: generations, plain services, addresses, health and metrics. */
package io.banyantally.internal.http;
