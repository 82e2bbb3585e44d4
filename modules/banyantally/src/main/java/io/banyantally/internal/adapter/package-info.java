/** Adapters to the outside interfaces; the only place that knows a wire format. */
package io.banyantally.internal.adapter;
