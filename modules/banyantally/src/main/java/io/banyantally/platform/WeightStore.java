package io.banyantally.platform;

import io.banyantally.model.ModelName;
import java.util.List;

/**
 * The platform's rate-limited store of model weights. Engines load weights from it; this interface only lists versions.
 */
@FunctionalInterface
public interface WeightStore {

    /** Returns the available versions of a model, newest first. */
    List<String> versions(ModelName model) throws PlatformException;
}
