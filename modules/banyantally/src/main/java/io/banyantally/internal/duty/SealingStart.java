package io.banyantally.internal.duty;

import io.banyantally.platform.StoreEra;

/**
 * The first window that may be sealed anew in an era of the store. Earlier ones may have been sealed and reported in a
 * former era, without a trace in the store.
 */
record SealingStart(StoreEra era, long firstWindow) {

    SealingStart {
        era = era == null ? StoreEra.UNKNOWN : era;
    }
}
