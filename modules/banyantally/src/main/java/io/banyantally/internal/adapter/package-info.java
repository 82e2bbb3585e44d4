/**
 * Adapters to the platform, the engines and the plain services; the only package that depends on their wire formats.
 */
package io.banyantally.internal.adapter;
