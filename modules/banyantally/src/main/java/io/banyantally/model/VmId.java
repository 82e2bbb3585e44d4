package io.banyantally.model;

/** Identifies a VM, by its name in its settings and in the platform's list of VMs. */
public record VmId(String value) implements Comparable<VmId> {

    /** Rejects an invalid value; see {@link Identifiers#check}. */
    public VmId {
        Identifiers.check("VM id", value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
