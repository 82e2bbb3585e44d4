package io.banyantally.internal.authority;

/** Ranks this VM among the candidates for the ownership of a scope. */
@FunctionalInterface
public interface CandidateRanking {

    /** Returns this VM's position among the live VMs for the scope, from 0; lower positions acquire first. */
    int rank(Scope scope);
}
