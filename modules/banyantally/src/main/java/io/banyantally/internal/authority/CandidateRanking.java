package io.banyantally.internal.authority;

/** Says how far this VM stands from owning a scope. */
@FunctionalInterface
public interface CandidateRanking {

    /** Returns this VM's position among the live VMs for the scope, from 0; lower positions acquire first. */
    int rank(Scope scope);
}
