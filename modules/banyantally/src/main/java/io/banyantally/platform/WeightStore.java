package io.banyantally.platform;

import io.banyantally.model.ModelName;
import java.util.List;

/** The platform's rate-limited store of model weights. Engines load from it; the system only asks what is there. */
@FunctionalInterface
public interface WeightStore {

    /** Returns the versions of a model that can be loaded, newest first. */
    List<String> versions(ModelName model) throws PlatformException;
}
