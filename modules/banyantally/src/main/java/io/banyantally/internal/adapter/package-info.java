/** Adapters to the platform, the engines and the plain services; the only package that knows a wire format. */
package io.banyantally.internal.adapter;
