package io.banyantally.internal.operator;

import java.util.List;

/** An operator's document that can't be used; names all its problems at once. */
public final class InvalidDocumentException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<FieldProblem> problems;

    /** Creates the failure for one or more problems. */
    public InvalidDocumentException(List<FieldProblem> problems) {
        super("the document has " + problems.size() + " problem(s): " + problems);
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems. */
    public List<FieldProblem> problems() {
        return problems;
    }
}
