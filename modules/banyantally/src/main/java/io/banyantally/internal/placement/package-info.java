/**
 * Decisions on single requests: which upstream serves them, whether they may be retried, and when refused callers
 * should retry. They use no network and read the time from a clock that tests replace.
 */
package io.banyantally.internal.placement;
