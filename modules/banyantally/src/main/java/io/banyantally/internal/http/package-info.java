/** The HTTP interface for callers: completions, plain services, addresses, health and metrics. */
package io.banyantally.internal.http;
