/**
 * Which software version began a stream, so that it goes on at no other one. {@code docs/design/stream-versions.md} has
 * the design.
 */
package io.banyantally.internal.streams;
