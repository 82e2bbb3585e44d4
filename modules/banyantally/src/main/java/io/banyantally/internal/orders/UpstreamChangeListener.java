package io.banyantally.internal.orders;

import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineTarget;

/**
 * Notified of planned changes, so that routing sends no new work to an upstream that is to change or to be given back.
 */
public interface UpstreamChangeListener {

    /**
     * Announces a change before its order is sent. Called repeatedly until it returns true; must be idempotent.
     *
     * @return whether the order may be sent: no VM sends the engine new work, and the running work has left it
     */
    boolean prepareChange(UpstreamId engine, EngineTarget target);

    /** Announces that an upstream is to be given back; same contract as {@link #prepareChange}. */
    boolean prepareGiveBack(UpstreamId upstream);

    /** Reports that the change is complete or cancelled, so that the upstream may get new work. */
    void changeFinished(UpstreamId upstream);
}
