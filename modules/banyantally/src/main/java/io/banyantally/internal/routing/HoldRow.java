package io.banyantally.internal.routing;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A hold as it travels between VMs, without field names.
 *
 * @param fencingNumber the number of the scope's owner
 * @param sequence rises with every hold, renewal and end of one owner
 * @param held false if the owner ended the hold
 * @param remainingMillis time until the hold ends unless it is renewed
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record HoldRow(String scope, String upstream, long fencingNumber, long sequence, boolean held, long remainingMillis) {}
