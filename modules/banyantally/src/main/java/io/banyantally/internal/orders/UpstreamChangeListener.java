package io.banyantally.internal.orders;

import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineTarget;

/** Told of planned changes, so that routing gives a changing or leaving upstream no new work. */
public interface UpstreamChangeListener {

    /**
     * Announces a change before its order is sent. Called again until it returns true; repeating it is harmless.
     *
     * @return whether the order may be sent: nobody gives the engine new work and its running work is off
     */
    boolean prepareChange(UpstreamId engine, EngineTarget target);

    /** Announces that an upstream is to be given back; called and answered like {@link #prepareChange}. */
    boolean prepareGiveBack(UpstreamId upstream);

    /** Reports that the change is complete or is no longer wanted, and the upstream may get work. */
    void changeFinished(UpstreamId upstream);
}
