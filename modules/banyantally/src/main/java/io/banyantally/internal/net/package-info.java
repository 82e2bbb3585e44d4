/** Network addresses as text. */
package io.banyantally.internal.net;
