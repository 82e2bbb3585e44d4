/** Duties that one VM at a time carries out: usage reports, orders of upstreams and stages of engines. */
package io.banyantally.internal.duty;
