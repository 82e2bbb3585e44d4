package io.banyantally.internal.placement;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * What VMs have measured of engines lately, as sums that are added up.
 *
 * @param kinds the measurements by kind of engine
 * @param engines the measurements by engine
 */
public record RateReport(List<Sums> kinds, List<Sums> engines) {

    /** The report of a VM that has measured nothing. */
    public static final RateReport NONE = new RateReport(List.of(), List.of());

    /** Copies the lists; an absent one is empty. */
    public RateReport {
        kinds = kinds == null ? List.of() : List.copyOf(kinds);
        engines = engines == null ? List.of() : List.copyOf(engines);
    }

    /** Returns whether nothing was measured; also true of a message that carries no report. */
    @JsonIgnore
    public boolean isEmpty() {
        return kinds.isEmpty() && engines.isEmpty();
    }

    /**
     * The sums of one kind or one engine.
     *
     * @param name identifies the kind or the lifetime of the engine
     */
    public record Sums(String name, List<Double> values) {

        /** Copies the values; absent ones are empty. */
        public Sums {
            values = values == null ? List.of() : List.copyOf(values);
        }
    }
}
