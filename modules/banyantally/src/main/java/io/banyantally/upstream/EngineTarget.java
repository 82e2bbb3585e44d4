package io.banyantally.upstream;

import io.banyantally.model.AdapterName;
import io.banyantally.model.ModelName;
import java.util.List;

/** The state that an engine should have, or has. */
public record EngineTarget(ModelName model, String version, List<AdapterName> adapters, EngineRole role) {

    /** Copies the list of adapters. */
    public EngineTarget {
        adapters = List.copyOf(adapters);
    }
}
