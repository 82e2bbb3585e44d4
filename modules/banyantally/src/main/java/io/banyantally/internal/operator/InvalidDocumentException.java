package io.banyantally.internal.operator;

import java.util.List;

/** An operator's document is invalid; lists all its problems. */
public final class InvalidDocumentException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<FieldProblem> problems;

    /** Creates the exception for one or more problems. */
    public InvalidDocumentException(List<FieldProblem> problems) {
        super("the document has " + problems.size() + " problem(s): " + problems);
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems, in the order in which they were found. */
    public List<FieldProblem> problems() {
        return problems;
    }
}
