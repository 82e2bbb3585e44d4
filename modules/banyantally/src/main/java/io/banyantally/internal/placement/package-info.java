/**
 * Decisions on single requests: which upstream serves them, whether they may be sent once more, and when callers that are
 * refused should return. They use no network and take the time from a clock that tests replace.
 */
package io.banyantally.internal.placement;
