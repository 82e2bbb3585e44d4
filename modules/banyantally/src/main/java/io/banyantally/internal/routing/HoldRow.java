package io.banyantally.internal.routing;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A hold as VMs send it to each other, as an array without field names.
 *
 * @param fencingNumber the fencing number of the scope's owner
 * @param sequence increases with every hold, renewal and end of hold by one owner
 * @param held false if the owner ended the hold
 * @param remainingMillis time until the hold ends unless it is renewed
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record HoldRow(String scope, String upstream, long fencingNumber, long sequence, boolean held, long remainingMillis) {}
